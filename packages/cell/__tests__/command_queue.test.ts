import { expect } from "chai";
import { createCommandQueue } from "../src/mod.ts";

it("command queue: a limited number of commands is under way", async () => {
  const queue = createCommandQueue(2);
  const order: string[] = [];
  const take = (name: string, isUrgent = false) =>
    queue.takeTurn({ isUrgent }).then((endTurn) => {
      order.push(endTurn === undefined ? `${name} given up` : name);
      return endTurn;
    });
  const [endFirst] = await Promise.all([take("a"), take("b")]);
  void take("c");
  void take("d", true);
  await Promise.resolve();
  expect(order).to.deep.equal(["a", "b"]);
  endFirst!();
  await new Promise(setImmediate);
  expect(order).to.deep.equal(["a", "b", "d"]);
  queue.giveUpWaiting();
  await new Promise(setImmediate);
  expect(order).to.deep.equal(["a", "b", "d", "c given up"]);
});

it("command queue: once closed, it gives up all commands", async () => {
  const queue = createCommandQueue(1);
  await queue.takeTurn();
  const waiting = queue.takeTurn({ isUrgent: true });
  queue.close();
  expect(await waiting).to.equal(undefined);
  expect(await queue.takeTurn()).to.equal(undefined);
});
