import { readdirSync, readFileSync } from "node:fs";
import { basename, join } from "node:path";
import { parse } from "yaml";
import { z } from "zod";

const milliseconds = z.number().int().nonnegative();
const count = z.number().int().nonnegative();

const submitSchema = z.strictObject({
  /** Name under which later steps refer to these requests. */
  batch: z.string(),
  account: z.string(),
  class: z.string(),
  count: count.default(1),
  overMs: milliseconds.default(0),
  runMs: z.tuple([milliseconds, milliseconds]).default([50, 100]),
  parts: count.optional(),
  accelerators: count.optional(),
  adjacent: z.string().optional(),
  repeatable: z.boolean().default(true),
  async: z.boolean().default(false),
  /** Number of callers that send each request at once under the same key. */
  copies: count.default(1),
  /** Names of the entries to send to; all live ones when absent. */
  through: z.array(z.string()).optional(),
  /** Time limit of one attempt. */
  tryMs: milliseconds.default(10_000),
  /** Time limit of all attempts together. */
  patienceMs: milliseconds.default(30_000),
  deadlineMs: milliseconds.default(25_000),
  /** Whether callers retry when a refusal allows it. */
  retryNotRun: z.boolean().default(true),
});

const cutSchema = z.strictObject({
  from: z.string(),
  to: z.string(),
  oneWay: z.boolean().default(false),
});

const expectSchema = z.strictObject({
  batch: z.string(),
  done: count.optional(),
  doneAtLeast: count.optional(),
  failed: count.optional(),
  notRun: count.optional(),
  notRunAtLeast: count.optional(),
  unknown: count.optional(),
  /** Maximum completion time of the slowest request. */
  slowestMs: milliseconds.optional(),
  /** Maximum completion time of the fastest request. */
  fastestMs: milliseconds.optional(),
});

const stepSchema = z.union([
  z.strictObject({ submit: submitSchema }),
  z.strictObject({ pause: milliseconds }),
  /** Waits for events of a batch in the workers' journal. */
  z.strictObject({
    until: z.strictObject({
      batch: z.string(),
      event: z.enum(["started", "ended", "stopped"]).default("started"),
      count,
    }),
  }),
  /** Waits until every caller of a batch has finished. */
  z.strictObject({ answered: z.string() }),
  z.strictObject({ kill: z.string() }),
  z.strictObject({ freeze: z.string() }),
  z.strictObject({ thaw: z.literal("all") }),
  z.strictObject({ stop: z.string() }),
  z.strictObject({ restart: z.string() }),
  z.strictObject({ exited: z.string(), withinMs: milliseconds }),
  z.strictObject({ cut: cutSchema }),
  z.strictObject({ heal: z.literal("all") }),
  z.strictObject({
    silence: z.strictObject({ from: z.string(), to: z.string() }),
  }),
  z.strictObject({
    platform: z.strictObject({
      outage: z.boolean().optional(),
      slowMs: milliseconds.optional(),
      loseAnswers: count.optional(),
      retentionMs: milliseconds.optional(),
    }),
  }),
  z.strictObject({
    worker: z.strictObject({
      name: z.string(),
      blackHole: z.boolean().optional(),
      answers: z.enum(["whole", "truncated", "crossed"]).optional(),
      loseRunAnswers: count.optional(),
      refusePrepare: count.optional(),
      leaving: z.boolean().optional(),
    }),
  }),
  z.strictObject({ cancel: z.string() }),
  /** Publishes rules as several operators at once, all from the same base. */
  z.strictObject({ publish: z.strictObject({ operators: count.default(1) }) }),
  /** Waits until a configuration version is in force at the entries. */
  z.strictObject({
    inForce: z.strictObject({
      version: count,
      withinMs: milliseconds,
      entries: z.array(z.string()).optional(),
    }),
  }),
  /** Waits until an entry is ready, or no longer ready. */
  z.strictObject({
    ready: z.strictObject({ entry: z.string(), is: z.boolean() }),
  }),
  z.strictObject({
    /** No task may start on this worker until the end of the scenario. */
    noStarts: z.strictObject({ worker: z.string() }),
  }),
  z.strictObject({ expect: expectSchema }),
]);

const scenarioSchema = z.strictObject({
  /** Guarantee that the scenario checks. */
  promise: z.string(),
  /** Failure under which the guarantee must hold. */
  failure: z.string(),
  zones: z.array(z.strictObject({
    name: z.string(),
    entries: count,
    workers: count,
  })),
  retentionMs: milliseconds.optional(),
  /** Lines of the rules file besides the common ones, without comments. */
  rules: z.array(z.string()).default([]),
  timing: z.record(z.string(), z.number()).optional(),
  steps: z.array(stepSchema),
});

/** One step of a scenario. */
export type Step = z.infer<typeof stepSchema>;
/** Requests that a step submits. */
export type Submit = z.infer<typeof submitSchema>;
/** Expected outcomes and times of a batch. */
export type Expectation = z.infer<typeof expectSchema>;
/** A scripted test of one failure on a system of real processes. */
export type Scenario = z.infer<typeof scenarioSchema> & { name: string };

/**
 * Parses a scenario.
 *
 * @param text content of the scenario file, YAML
 * @param name name of the scenario
 * @returns the scenario, with defaults filled in
 * @throws Error that lists every violation of the schema
 */
export function parseScenario(text: string, name: string): Scenario {
  const result = scenarioSchema.safeParse(parse(text));
  if (result.success) return { ...result.data, name };
  throw new Error(`scenario ${name}: ${z.prettifyError(result.error)}`);
}

/**
 * Reads all scenarios of a directory.
 *
 * @param directory directory with the scenario files
 * @returns the scenarios, sorted by name
 */
export function readScenarios(directory: string): Scenario[] {
  return readdirSync(directory).filter((file) => file.endsWith(".yaml")).sort()
    .map((file) =>
      parseScenario(
        readFileSync(join(directory, file), "utf8"),
        basename(file, ".yaml"),
      )
    );
}
