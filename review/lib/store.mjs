// Stand-in of the platform's store: a log of topics with one partition each, as
// PROTOCOL.md describes it. All topics used here are keyed.
import { createServer } from "node:http";

const MAXIMUM_ITEMS_PER_PAGE = 500;
const KEPT_ANSWERS = 5;
const ANSWER_MS = 4;
const READ_ONLY_TOPICS = new Set(["keyed.op", "keyed.servers"]);

const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

function readBody(request) {
  return new Promise((resolve, reject) => {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", () => resolve(Buffer.concat(chunks)));
    request.on("error", reject);
  });
}

function splitRecords(body) {
  const records = [];
  for (let at = 0; at < body.length;) {
    const length = body.readUInt32BE(at);
    const content = body.subarray(at + 4, at + 4 + length);
    const keyLength = content[0];
    records.push({
      key: content.subarray(1, 1 + keyLength).toString(),
      value: content.subarray(1 + keyLength),
    });
    at += 4 + length;
  }
  return records;
}

function frameRecord({ key, value }) {
  const content = Buffer.concat([
    Buffer.from([Buffer.byteLength(key)]),
    Buffer.from(key),
    value,
  ]);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}

/**
 * Starts the store on a free port of 127.0.0.1.
 *
 * `store.loseWrite`, if set, is called with each write of the system; a number
 * that it returns makes the store carry the write out that many milliseconds
 * later, if its condition still holds, and never answer it.
 */
export async function startStore() {
  const topics = new Map();
  let waiting = [];
  const topicOf = (name) => {
    let topic = topics.get(name);
    if (topic === undefined) {
      topic = { records: [], producers: new Map() };
      topics.set(name, topic);
    }
    return topic;
  };
  const appendTo = (name, records) => {
    const topic = topicOf(name);
    const offset = topic.records.length;
    topic.records.push(...records);
    const ready = waiting.filter((reader) => reader.name === name);
    waiting = waiting.filter((reader) => reader.name !== name);
    for (const { wake } of ready) wake();
    return { offset, end_offset: topic.records.length };
  };

  const append = (query, records) => {
    const name = query.get("topic");
    const topic = topicOf(name);
    const end = topic.records.length;
    const producer = query.get("producer");
    if (producer !== null) {
      const epoch = Number(query.get("epoch"));
      const sequence = Number(query.get("sequence"));
      let known = topic.producers.get(producer);
      if (known !== undefined && epoch < known.epoch) {
        return [409, { reason: "fenced" }];
      }
      if (known === undefined || epoch > known.epoch) {
        known = { epoch, next: sequence, answers: new Map() };
        topic.producers.set(producer, known);
      }
      if (known.answers.has(sequence)) {
        return [200, known.answers.get(sequence)];
      }
      if (records.length === 0) {
        return [200, { offset: end, end_offset: end }];
      }
      if (sequence !== known.next) {
        return [409, { reason: "seq", sequence: known.next }];
      }
      const answer = appendTo(name, records);
      known.next += 1;
      known.answers.set(sequence, answer);
      known.answers.delete(sequence - KEPT_ANSWERS);
      return [200, answer];
    }
    if (query.has("at") && Number(query.get("at")) !== end) {
      return [412, { end_offset: end }];
    }
    return [200, appendTo(name, records)];
  };

  const read = async (query, response) => {
    const name = query.get("topic");
    const from = Number(query.get("from"));
    const topic = topicOf(name);
    const waitMs = Number(query.get("wait_ms") ?? 0);
    if (topic.records.length <= from && waitMs > 0) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, waitMs);
        const wake = () => {
          clearTimeout(timer);
          resolve();
        };
        waiting.push({ name, wake });
      });
    }
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(topic.records.length), 0);
    const maximumBytes = 1024 * Number(query.get("max_kb") ?? 1024);
    const parts = [header];
    let bytes = 0;
    for (const record of topic.records.slice(from)) {
      const framed = frameRecord(record);
      if (bytes > 0 && bytes + framed.length > maximumBytes) break;
      bytes += framed.length;
      parts.push(framed);
    }
    response.writeHead(200).end(Buffer.concat(parts));
  };

  const newest = (query) => {
    const topic = topicOf(query.get("topic"));
    const found = new Map();
    topic.records.forEach(({ key, value }, offset) => {
      if (value.length === 0) found.delete(key);
      else found.set(key, { key, value: value.toString("base64"), offset });
    });
    const after = query.get("after");
    const items = [...found.values()]
      .sort((a, b) => (a.key < b.key ? -1 : 1))
      .filter(({ key }) => after === null || key > after);
    return {
      items: items.slice(0, MAXIMUM_ITEMS_PER_PAGE),
      has_more: items.length > MAXIMUM_ITEMS_PER_PAGE,
      end_offset: topic.records.length,
    };
  };

  const sendJson = (response, status, body) => {
    const text = JSON.stringify(body);
    response.writeHead(status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
    }).end(text);
  };

  const server = createServer(async (request, response) => {
    response.on("error", () => {});
    try {
      const url = new URL(request.url, "http://store");
      const query = url.searchParams;
      const body = await readBody(request);
      await pause(store.answerMs);
      if (url.pathname === "/log-append") {
        if (READ_ONLY_TOPICS.has(query.get("topic"))) {
          return sendJson(response, 403, {});
        }
        const records = splitRecords(body);
        store.writes += 1;
        const delayMs = store.loseWrite?.(query.get("topic"), records);
        if (delayMs !== undefined) {
          store.lostWrites += 1;
          setTimeout(() => append(query, records), delayMs);
          return;
        }
        return sendJson(response, ...append(query, records));
      }
      if (url.pathname === "/log-read") return await read(query, response);
      if (url.pathname === "/log-newest") {
        return sendJson(response, 200, newest(query));
      }
      return sendJson(response, 404, {});
    } catch (error) {
      response.destroy(error);
    }
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));

  const store = {
    address: `127.0.0.1:${server.address().port}`,
    loseWrite: undefined,
    /** Time that each answer takes. */
    answerMs: ANSWER_MS,
    writes: 0,
    lostWrites: 0,
    /** Writes a record as the operator or an executor does. */
    write: (topic, key, value) =>
      appendTo(topic, [{
        key,
        value: Buffer.from(
          typeof value === "string" ? value : JSON.stringify(value),
        ),
      }]),
    /** Drops a key, as the platform does with the entry of a gone executor. */
    drop: (topic, key) => appendTo(topic, [{ key, value: Buffer.alloc(0) }]),
    /** @returns the newest value of a key as text */
    newestOf: (topic, key) =>
      topicOf(topic).records.findLast((record) => record.key === key)?.value
        .toString(),
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
  return store;
}
