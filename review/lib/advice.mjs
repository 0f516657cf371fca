// Stand-in of the advice service: it alone knows which executors may run a step,
// and gives tickets for these. It handles one call at a time.
import { createServer } from "node:http";

const DECIDE_MS = 20;
const PERIOD_MS = 1;
export const TICKET_MS = 3_000;

export const ADVICE_CONFIG = {
  decide_ms: DECIDE_MS,
  period_ms: PERIOD_MS,
  valid_ms: TICKET_MS,
};

/**
 * Starts the service on a free port of 127.0.0.1.
 *
 * @param isAllowed tells, by the name of a step and the id of an executor,
 * whether the policy allows it; the answer for a step never changes
 */
export async function startAdvice(isAllowed) {
  const tickets = new Map();
  /** Times of the last ticket by step. */
  const lastTicketAt = new Map();
  let turn = Promise.resolve();
  let nextTicket = 1;

  const decide = async ({ step, workers }) => {
    await new Promise((resolve) =>
      setTimeout(resolve, DECIDE_MS + PERIOD_MS * workers.length)
    );
    const allowed = workers.filter((id) => isAllowed(step, id)).map((id) => {
      const ticket = `ticket-${nextTicket++}`;
      const until = performance.now() + TICKET_MS;
      tickets.set(ticket, { step, id, until });
      lastTicketAt.set(step, performance.now());
      return [id, ticket];
    });
    return { allowed, valid_ms: TICKET_MS };
  };

  const server = createServer((request, response) => {
    const chunks = [];
    response.on("error", () => {});
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", () => {
      turn = turn.then(async () => {
        const body = JSON.parse(Buffer.concat(chunks).toString());
        const text = JSON.stringify(await decide(body));
        response.writeHead(200, {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(text),
        }).end(text);
      });
    });
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    lastTicketAt,
    /** @returns whether an executor may start a subtask on a ticket */
    isValid: (ticket, task, id) => {
      const known = tickets.get(ticket);
      return known !== undefined && known.id === id &&
        task.startsWith(`${known.step}.`) && performance.now() < known.until;
    },
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}
