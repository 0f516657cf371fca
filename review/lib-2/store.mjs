// Stand-in of the platform's store: an in-memory log with keyed topics, as
// PROTOCOL.md describes it under "The platform's metadata store".
import { Buffer } from "node:buffer";
import { listen, readBody, sendJson } from "./http.mjs";

const HEADER_BYTES = 16;
const REMEMBERED_APPENDS = 5;
// Limits that the settings name: of a record, and of the records of a call.
const RECORD_BYTES = 262_144;
const CALL_BYTES = 2_097_152;

/** Splits the records of an append: 4 bytes of length, then the content. */
function splitRecords(body) {
  const records = [];
  for (let at = 0; at + 4 <= body.length;) {
    const length = body.readUInt32BE(at);
    records.push(Buffer.from(body.subarray(at + 4, at + 4 + length)));
    at += 4 + length;
  }
  return records;
}

/** Splits the content of a keyed record. */
function splitKeyed(content) {
  const keyLength = content[0] ?? 0;
  return {
    key: content.toString("utf8", 1, 1 + keyLength),
    value: content.subarray(1 + keyLength),
  };
}

/** Starts the store on a free port. */
export async function startStore({ appendMs = 2, answerMs = 2 } = {}) {
  const topics = new Map();
  const topicOf = (name) => {
    let topic = topics.get(name);
    if (topic === undefined) {
      topic = {
        records: [],
        newest: new Map(),
        producers: new Map(),
        waiting: new Set(),
        queue: Promise.resolve(),
      };
      topics.set(name, topic);
    }
    return topic;
  };
  const add = (topic, records) => {
    const offset = topic.records.length;
    for (const content of records) {
      const { key, value } = splitKeyed(content);
      topic.newest.delete(key);
      if (value.length > 0) {
        topic.newest.set(key, { value, offset: topic.records.length });
      }
      topic.records.push(content);
    }
    for (const wake of topic.waiting) wake();
    return { offset, end_offset: topic.records.length };
  };

  const append = (query, body) => {
    const topic = topicOf(query.get("topic"));
    const end = topic.records.length;
    if (query.has("at") && Number(query.get("at")) !== end) {
      return [412, { end_offset: end }];
    }
    const records = splitRecords(body);
    const isTooLarge = body.length > CALL_BYTES ||
      records.some((content) => content.length > RECORD_BYTES);
    if (isTooLarge) return [400, {}];
    if (!query.has("producer")) return [200, add(topic, records)];
    const name = query.get("producer");
    const epoch = Number(query.get("epoch"));
    const sequence = Number(query.get("sequence"));
    let producer = topic.producers.get(name);
    if (producer !== undefined && epoch < producer.epoch) {
      return [409, { reason: "fenced" }];
    }
    if (producer === undefined || epoch > producer.epoch) {
      producer = { epoch, last: undefined, answers: new Map() };
      topic.producers.set(name, producer);
    }
    if (body.length === 0) return [200, { offset: end, end_offset: end }];
    const known = producer.answers.get(sequence);
    if (known !== undefined) return [200, known];
    if (producer.last !== undefined && sequence !== producer.last + 1) {
      return [409, { reason: "seq", sequence: producer.last + 1 }];
    }
    producer.last = sequence;
    const answer = add(topic, records);
    producer.answers.set(sequence, answer);
    producer.answers.delete(sequence - REMEMBERED_APPENDS);
    return [200, answer];
  };

  const read = async (query, response) => {
    const topic = topicOf(query.get("topic"));
    const from = Number(query.get("from"));
    const until = performance.now() + Number(query.get("wait_ms") ?? 0);
    while (topic.records.length <= from && performance.now() < until) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          topic.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, until - performance.now());
        topic.waiting.add(wake);
      });
    }
    const header = Buffer.alloc(HEADER_BYTES);
    header.writeBigUInt64BE(BigInt(topic.records.length), 0);
    const parts = [header];
    let bytes = 0;
    for (const content of topic.records.slice(from)) {
      bytes += content.length + 4;
      if (parts.length > 1 && bytes > 1_024 * 1_024) break;
      const length = Buffer.alloc(4);
      length.writeUInt32BE(content.length);
      parts.push(length, content);
    }
    response.writeHead(200);
    response.end(Buffer.concat(parts));
  };

  const newest = (query) => {
    const topic = topicOf(query.get("topic"));
    const after = query.get("after");
    const keys = [...topic.newest.keys()].sort();
    const items = [];
    let bytes = 0;
    for (const key of keys) {
      if (after !== null && key <= after) continue;
      const { value, offset } = topic.newest.get(key);
      bytes += value.length;
      if (items.length >= 500 || items.length > 0 && bytes > 1_024 * 1_024) {
        return [200, {
          items,
          has_more: true,
          end_offset: topic.records.length,
        }];
      }
      items.push({ key, value: value.toString("base64"), offset });
    }
    return [200, { items, has_more: false, end_offset: topic.records.length }];
  };

  const { server, address } = await listen(async (request, response) => {
    const url = new URL(request.url, "http://store");
    const query = url.searchParams;
    const body = await readBody(request);
    await new Promise((resolve) => setTimeout(resolve, answerMs));
    if (url.pathname === "/log-read") return await read(query, response);
    if (url.pathname === "/log-newest") {
      return sendJson(response, ...newest(query));
    }
    if (url.pathname !== "/log-append") return sendJson(response, 404, {});
    // A partition processes its appends one at a time.
    const topic = topicOf(query.get("topic"));
    const turn = topic.queue.then(async () => {
      await new Promise((resolve) => setTimeout(resolve, appendMs));
      return append(query, body);
    });
    topic.queue = turn.catch(() => {});
    sendJson(response, ...await turn);
  });

  return {
    address,
    /** Writes a keyed record, as the operator and the executors do. */
    write: (topic, key, value) => {
      const keyBytes = Buffer.from(key);
      add(topicOf(topic), [
        Buffer.concat([
          Buffer.from([keyBytes.length]),
          keyBytes,
          Buffer.from(value),
        ]),
      ]);
    },
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}
