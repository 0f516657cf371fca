import type { Milliseconds } from "@rattanhill/shared";
import { Adjacency } from "./shape.ts";

/** Guaranteed capacity of an account in one availability zone. */
export interface Guarantee {
  /** Availability zone. */
  zone: string;
  /** Accelerators that the account can always reclaim. */
  accelerators: number;
  /** Required adjacency of the guaranteed accelerators. */
  adjacent: Adjacency;
}

/** Rules for a client account. */
export interface AccountRule {
  name: string;
  /** Weight by which accounts divide the capacity beyond their guarantees. */
  weight: number;
  /** Guaranteed capacity, one entry for each zone. */
  guarantees: Guarantee[];
  /** SHA-256 digests of the bearer keys, in hexadecimal. */
  keyDigests: string[];
  /** Maximum number of the account's requests that wait at one entry. */
  waitingLimit: number;
  /** Classes the account may use; all classes when empty. */
  classes: string[];
}

/** Rules for a class of requests. */
export interface ClassRule {
  name: string;
  /** Priority in the queue; higher values are served first. */
  priority: number;
  /**
   * Maximum time in the queue, after which the request is refused; accepted
   * jobs wait indefinitely.
   */
  waitMs: Milliseconds;
  /** Whether requests may run more than once. */
  repeatable: boolean;
  /**
   * Whether a running task may be stopped to free capacity for other requests.
   */
  preemptible: boolean;
  /** Default number of parts. */
  parts: number;
  /** Default number of accelerators for each part. */
  accelerators: number;
  /** Default adjacency of the accelerators. */
  adjacent: Adjacency;
  /** Default expected run time. */
  expectedMs: Milliseconds;
  /**
   * Number of waiting requests of this class at which new ones are refused,
   * except accepted jobs.
   */
  refuseOver: number;
}

/** A parsed rules file. */
export interface Rules {
  /** Accounts by name. */
  accounts: ReadonlyMap<string, AccountRule>;
  /** Classes by name. */
  classes: ReadonlyMap<string, ClassRule>;
}

/** A fault in a rules file. */
export interface RuleFault {
  /** Line number, from 1. */
  line: number;
  /** Column number, from 1. */
  column: number;
  /** Description of the fault, such as what was expected and what was found. */
  reason: string;
}

/** Result of parsing a rules file. */
export interface ParsedRules {
  /** Present only when `faults` is empty. */
  rules?: Rules;
  /** All faults of the file, ordered by line and column. */
  faults: RuleFault[];
}

/** Rules in force before the first version is published. */
export const NO_RULES: Rules = { accounts: new Map(), classes: new Map() };

// Maximum number of waiting requests of one account at one entry.
const DEFAULT_WAITING_LIMIT = 1_000;
const DEFAULT_WAIT_MS = 30_000;
const DEFAULT_EXPECTED_MS = 1_000;
const MAXIMUM_RULES_CHARACTERS = 1_048_576;
// Every rule must have a comment that names who requested it.
const ATTRIBUTION_COMMENT = /#\s*asked by:\s*\S/;

interface Token {
  text: string;
  column: number;
}

/** Fault in the current line; the caller adds the line number. */
class RuleError extends Error {
  readonly column: number;

  constructor(column: number, reason: string) {
    super(reason);
    this.column = column;
  }
}

/**
 * Parses a rules file. A file with any fault yields no rules at all.
 *
 * @param text the whole file
 * @returns the rules, or every fault with line, column and reason
 */
export function parseRules(text: string): ParsedRules {
  if (text.length > MAXIMUM_RULES_CHARACTERS) {
    const reason = `expected at most ${MAXIMUM_RULES_CHARACTERS} characters`;
    return { faults: [{ line: 1, column: 1, reason }] };
  }
  const faults: RuleFault[] = [];
  const builder = createRulesBuilder();
  text.split(/\r?\n/).forEach((content, index) => {
    try {
      parseLine(content, builder);
    } catch (error) {
      if (!(error instanceof RuleError)) throw error;
      const { column, message: reason } = error;
      faults.push({ line: index + 1, column, reason });
    }
  });
  faults.push(...builder.findUnknownNames());
  faults.sort((a, b) => a.line - b.line || a.column - b.column);
  return faults.length > 0 ? { faults } : { rules: builder.build(), faults };
}

function parseLine(content: string, builder: RulesBuilder): void {
  const hashIndex = content.indexOf("#");
  const body = hashIndex < 0 ? content : content.slice(0, hashIndex);
  const tokens = tokenize(body);
  builder.startLine();
  if (tokens.length === 0) return;
  if (hashIndex < 0 || !ATTRIBUTION_COMMENT.test(content.slice(hashIndex))) {
    const column = hashIndex < 0 ? content.length + 1 : hashIndex + 1;
    throw new RuleError(column, "expected a comment `# asked by: NAME`");
  }
  const reader = createTokenReader(tokens, body.length + 1);
  const kind = reader.readWord("account, class, limit, key, allow or refuse");
  const parser = LINE_PARSERS[kind.text];
  if (parser === undefined) {
    throw new RuleError(
      kind.column,
      "expected account, class, limit, key, allow or refuse, " +
        `found ${JSON.stringify(kind.text)}`,
    );
  }
  parser(reader, builder);
}

function tokenize(body: string): Token[] {
  return [...body.matchAll(/\S+/g)].map((match) => ({
    text: match[0],
    column: match.index + 1,
  }));
}

type LineParser = (reader: TokenReader, builder: RulesBuilder) => void;

const LINE_PARSERS: Readonly<Record<string, LineParser>> = {
  account: parseAccount,
  class: parseClass,
  limit: parseLimit,
  key: parseKey,
  allow: parseAllow,
  refuse: parseRefuse,
};

function parseAccount(reader: TokenReader, builder: RulesBuilder): void {
  const account = builder.getOrAddAccount(reader.readName("an account name"));
  while (!reader.isAtEnd()) {
    const option = reader.readWord("weight or guarantee");
    if (option.text === "weight") account.weight = reader.readCount("a weight");
    else if (option.text === "guarantee") {
      const guarantee = parseGuarantee(reader);
      if (account.guarantees.some(({ zone }) => zone === guarantee.zone)) {
        throw new RuleError(
          option.column,
          `a second guarantee of ${account.name} in zone ${guarantee.zone}`,
        );
      }
      account.guarantees.push(guarantee);
    } else throw unexpectedToken(option, "weight or guarantee");
  }
}

function parseGuarantee(reader: TokenReader): Guarantee {
  const accelerators = reader.readCount("a number of accelerators");
  reader.readKeyword("accelerators");
  const next = reader.readKeyword("adjacent", "zone");
  const adjacent = next === "adjacent" ? parseAdjacency(reader) : "none";
  if (next === "adjacent") reader.readKeyword("zone");
  return { accelerators, adjacent, zone: reader.readName("a zone").text };
}

function parseAdjacency(reader: TokenReader): Adjacency {
  return reader.readKeyword(...Object.values(Adjacency)) as Adjacency;
}

function parseClass(reader: TokenReader, builder: RulesBuilder): void {
  const name = reader.readName("a class name");
  const rule = builder.addClass(name);
  while (!reader.isAtEnd()) parseClassOption(reader, rule);
}

function parseClassOption(reader: TokenReader, rule: ClassRule): void {
  const expected = "priority, wait, repeatable, not-repeatable, " +
    "preemptible, not-preemptible, parts, accelerators, adjacent or expected";
  const option = reader.readWord(expected);
  switch (option.text) {
    case "priority":
      rule.priority = reader.readCount("a priority");
      return;
    case "wait":
      rule.waitMs = reader.readDuration();
      return;
    case "expected":
      rule.expectedMs = reader.readDuration();
      return;
    case "parts":
      rule.parts = reader.readPositiveCount("a number of parts");
      return;
    case "accelerators":
      rule.accelerators = reader.readPositiveCount("a number of accelerators");
      return;
    case "adjacent":
      rule.adjacent = parseAdjacency(reader);
      return;
    case "repeatable":
    case "not-repeatable":
      rule.repeatable = option.text === "repeatable";
      return;
    case "preemptible":
    case "not-preemptible":
      rule.preemptible = option.text === "preemptible";
      return;
    default:
      throw unexpectedToken(option, expected);
  }
}

function parseLimit(reader: TokenReader, builder: RulesBuilder): void {
  reader.readKeyword("account");
  const account = builder.addReference(
    "account",
    reader.readName("an account name"),
  );
  reader.readKeyword("waiting");
  const waitingLimit = reader.readCount("a number of requests");
  builder.defer(() =>
    builder.getOrAddAccount(account).waitingLimit = waitingLimit
  );
  reader.expectEnd();
}

function parseKey(reader: TokenReader, builder: RulesBuilder): void {
  reader.readKeyword("account");
  const account = builder.addReference(
    "account",
    reader.readName("an account name"),
  );
  reader.readKeyword("sha256");
  const digest = reader.readWord("a SHA-256 digest");
  if (!/^[0-9a-f]{64}$/.test(digest.text)) {
    throw unexpectedToken(digest, "64 hexadecimal digits in lower case");
  }
  builder.defer(() =>
    builder.getOrAddAccount(account).keyDigests.push(digest.text)
  );
  reader.expectEnd();
}

function parseAllow(reader: TokenReader, builder: RulesBuilder): void {
  reader.readKeyword("account");
  const account = builder.addReference(
    "account",
    reader.readName("an account name"),
  );
  reader.readKeyword("class");
  do {
    const name = builder.addReference("class", reader.readName("a class name"));
    builder.defer(() =>
      builder.getOrAddAccount(account).classes.push(name.text)
    );
  } while (!reader.isAtEnd());
}

function parseRefuse(reader: TokenReader, builder: RulesBuilder): void {
  reader.readKeyword("class");
  const name = builder.addReference("class", reader.readName("a class name"));
  reader.readKeyword("when");
  reader.readKeyword("waiting");
  reader.readKeyword("over");
  const refuseOver = reader.readCount("a number of requests");
  builder.defer((classes) => {
    const rule = classes.get(name.text);
    if (rule !== undefined) rule.refuseOver = refuseOver;
  });
  reader.expectEnd();
}

/**
 * Reads the tokens of one line in order. All methods except `isAtEnd` throw a
 * {@link RuleError} if the next token is not what they expect.
 */
interface TokenReader {
  readWord(expected: string): Token;
  readName(expected: string): Token;
  readCount(expected: string): number;
  readPositiveCount(expected: string): number;
  readDuration(): Milliseconds;
  readKeyword(...words: string[]): string;
  isAtEnd(): boolean;
  expectEnd(): void;
}

function createTokenReader(tokens: Token[], endColumn: number): TokenReader {
  let position = 0;
  const readWord = (expected: string): Token => {
    const token = tokens[position++];
    if (token !== undefined) return token;
    throw new RuleError(
      endColumn,
      `expected ${expected}, found the line's end`,
    );
  };
  const readMatching = (expected: string, pattern: RegExp): Token => {
    const token = readWord(expected);
    if (!pattern.test(token.text)) throw unexpectedToken(token, expected);
    return token;
  };
  const isAtEnd = () => position >= tokens.length;
  return {
    readWord,
    isAtEnd,
    readName: (expected) =>
      readMatching(expected, /^[a-z0-9][a-z0-9._-]{0,63}$/),
    readCount: (expected) => Number(readMatching(expected, /^\d{1,9}$/).text),
    readPositiveCount: (expected) =>
      Number(readMatching(expected, /^[1-9]\d{0,8}$/).text),
    readDuration: () => {
      const token = readMatching(
        "a duration such as 500ms, 2s, 5m or 1h",
        DURATION,
      );
      const [, amount, unit] = DURATION.exec(token.text)!;
      return Number(amount) * UNIT_MS[unit];
    },
    readKeyword: (...words) => {
      const token = readWord(words.join(" or "));
      if (words.includes(token.text)) return token.text;
      throw unexpectedToken(token, words.join(" or "));
    },
    expectEnd: () => {
      if (!isAtEnd()) throw unexpectedToken(tokens[position], "the line's end");
    },
  };
}

const DURATION = /^(\d{1,9})(ms|s|m|h)$/;
const UNIT_MS: Readonly<Record<string, Milliseconds>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
};

function unexpectedToken(token: Token, expected: string): RuleError {
  const found = JSON.stringify(token.text);
  return new RuleError(token.column, `expected ${expected}, found ${found}`);
}

/** Use of an account or class name that may be defined anywhere in the file. */
interface Reference {
  kind: "account" | "class";
  name: string;
  line: number;
  column: number;
}

/**
 * Collects the rules of a file. Lines may use accounts and classes that are
 * defined further down, so such uses are deferred until the file is read.
 */
interface RulesBuilder {
  /** Increments the line number that is recorded with references. */
  startLine(): void;
  getOrAddAccount(name: Token): AccountRule;
  addClass(name: Token): ClassRule;
  /**
   * @returns the name, which `findUnknownNames` checks once the file is read
   */
  addReference(kind: Reference["kind"], name: Token): Token;
  /** Defers an action to `build`, when all names are defined. */
  defer(action: (classes: Map<string, ClassRule>) => void): void;
  findUnknownNames(): RuleFault[];
  build(): Rules;
}

function createRulesBuilder(): RulesBuilder {
  const accounts = new Map<string, AccountRule>();
  const classes = new Map<string, ClassRule>();
  const references: Reference[] = [];
  const deferredActions: ((classes: Map<string, ClassRule>) => void)[] = [];
  let line = 0;
  return {
    startLine: () => line++,
    getOrAddAccount: ({ text: name }) => {
      const known = accounts.get(name) ?? createAccountRule(name);
      accounts.set(name, known);
      return known;
    },
    addClass: ({ text: name, column }) => {
      if (classes.has(name)) {
        throw new RuleError(column, `class ${name} is defined twice`);
      }
      const rule = createClassRule(name);
      classes.set(name, rule);
      return rule;
    },
    addReference: (kind, name) => {
      references.push({ kind, name: name.text, line, column: name.column });
      return name;
    },
    defer: (action) => deferredActions.push(action),
    findUnknownNames: () =>
      references
        .filter(({ kind, name }) =>
          !(kind === "account" ? accounts : classes).has(name)
        )
        .map(({ kind, name, line, column }) => ({
          line,
          column,
          reason: `unknown ${kind} ${name}`,
        })),
    build: () => {
      deferredActions.forEach((action) => action(classes));
      return { accounts, classes };
    },
  };
}

function createAccountRule(name: string): AccountRule {
  return {
    name,
    weight: 1,
    guarantees: [],
    keyDigests: [],
    waitingLimit: DEFAULT_WAITING_LIMIT,
    classes: [],
  };
}

function createClassRule(name: string): ClassRule {
  return {
    name,
    priority: 50,
    waitMs: DEFAULT_WAIT_MS,
    repeatable: true,
    preemptible: true,
    parts: 1,
    accelerators: 1,
    adjacent: Adjacency.none,
    expectedMs: DEFAULT_EXPECTED_MS,
    refuseOver: Number.MAX_SAFE_INTEGER,
  };
}
