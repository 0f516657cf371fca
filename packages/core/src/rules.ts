import type { Milliseconds } from "@rattanhill/shared";
import { Adjacency } from "./shape.ts";

/** Guaranteed capacity of an account in one availability zone. */
export interface Guarantee {
  /** Availability zone. */
  zone: string;
  /** Accelerators that the account can always reclaim. */
  accelerators: number;
  /** Required closeness of the guaranteed accelerators. */
  adjacent: Adjacency;
}

/** What the rules say about a client account. */
export interface AccountRule {
  /** Name of the account. */
  name: string;
  /** Share of capacity beyond guarantees, relative to other accounts. */
  weight: number;
  /** Guaranteed capacity, one entry for each zone. */
  guarantees: Guarantee[];
  /** SHA-256 digests of the bearer keys, in hexadecimal. */
  keyDigests: string[];
  /** Largest number of waiting requests at one entry. */
  waitingLimit: number;
  /** Classes the account may use; all classes when empty. */
  classes: string[];
}

/** What the rules say about a class of requests. */
export interface ClassRule {
  /** Name of the class. */
  name: string;
  /** Larger values go first. */
  priority: number;
  /** Longest time in the queue before the request is refused. */
  waitMs: Milliseconds;
  /** Whether requests may run more than once. */
  repeatable: boolean;
  /** Whether running tasks may be stopped to return lent capacity. */
  preemptible: boolean;
  /** Default parts. */
  parts: number;
  /** Default accelerators of one part. */
  accelerators: number;
  /** Default closeness. */
  adjacent: Adjacency;
  /** Default run time. */
  expectedMs: Milliseconds;
  /** Waiting requests of this class above which new ones are refused. */
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
  /** What was expected and what was found. */
  reason: string;
}

/** Result of parsing: the rules when there is no fault. */
export interface ParsedRules {
  /** Present only when `faults` is empty. */
  rules?: Rules;
  /** Every fault found. */
  faults: RuleFault[];
}

/** Rules of a system to which nothing was published yet. */
export const NO_RULES: Rules = { accounts: new Map(), classes: new Map() };

const DEFAULT_WAITING_LIMIT = 1_000; // requests of one account at one entry
const DEFAULT_WAIT_MS = 30_000;
const DEFAULT_EXPECTED_MS = 1_000;
const MAXIMUM_RULES_LENGTH = 1_048_576; // characters
const COMMENT = /#\s*asked by:\s*\S/;

interface Token {
  text: string;
  column: number;
}

class RuleError extends Error {
  readonly column: number;

  constructor(column: number, reason: string) {
    super(reason);
    this.column = column;
  }
}

/**
 * Parses a rules file. Nothing of a file with faults is returned.
 *
 * @param text the whole file
 * @returns the rules, or every fault with line, column and reason
 */
export function parseRules(text: string): ParsedRules {
  if (text.length > MAXIMUM_RULES_LENGTH) {
    const reason = `expected at most ${MAXIMUM_RULES_LENGTH} characters`;
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
  faults.push(...builder.findDanglingNames());
  faults.sort((a, b) => a.line - b.line || a.column - b.column);
  return faults.length > 0 ? { faults } : { rules: builder.build(), faults };
}

function parseLine(content: string, builder: RulesBuilder): void {
  const hash = content.indexOf("#");
  const body = hash < 0 ? content : content.slice(0, hash);
  const tokens = tokenize(body);
  builder.nextLine();
  if (tokens.length === 0) return;
  if (hash < 0 || !COMMENT.test(content.slice(hash))) {
    const column = hash < 0 ? content.length + 1 : hash + 1;
    throw new RuleError(column, "expected a comment `# asked by: NAME`");
  }
  const reader = createTokenReader(tokens, body.length + 1);
  const kind = reader.word("account, class, limit, key, allow or refuse");
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
  const account = builder.account(reader.name("an account name"));
  while (!reader.isAtEnd()) {
    const option = reader.word("weight or guarantee");
    if (option.text === "weight") account.weight = reader.count("a weight");
    else if (option.text === "guarantee") {
      const guarantee = parseGuarantee(reader);
      if (account.guarantees.some(({ zone }) => zone === guarantee.zone)) {
        throw new RuleError(
          option.column,
          `a second guarantee of ${account.name} in zone ${guarantee.zone}`,
        );
      }
      account.guarantees.push(guarantee);
    } else throw unexpected(option, "weight or guarantee");
  }
}

function parseGuarantee(reader: TokenReader): Guarantee {
  const accelerators = reader.count("a number of accelerators");
  reader.keyword("accelerators");
  const next = reader.keyword("adjacent", "zone");
  const adjacent = next === "adjacent" ? parseAdjacency(reader) : "none";
  if (next === "adjacent") reader.keyword("zone");
  return { accelerators, adjacent, zone: reader.name("a zone").text };
}

function parseAdjacency(reader: TokenReader): Adjacency {
  return reader.keyword(...Object.values(Adjacency)) as Adjacency;
}

function parseClass(reader: TokenReader, builder: RulesBuilder): void {
  const name = reader.name("a class name");
  const rule = builder.newClass(name);
  while (!reader.isAtEnd()) parseClassOption(reader, rule);
}

function parseClassOption(reader: TokenReader, rule: ClassRule): void {
  const expected = "priority, wait, repeatable, not-repeatable, " +
    "preemptible, not-preemptible, parts, accelerators, adjacent or expected";
  const option = reader.word(expected);
  switch (option.text) {
    case "priority":
      rule.priority = reader.count("a priority");
      return;
    case "wait":
      rule.waitMs = reader.duration();
      return;
    case "expected":
      rule.expectedMs = reader.duration();
      return;
    case "parts":
      rule.parts = reader.positive("a number of parts");
      return;
    case "accelerators":
      rule.accelerators = reader.positive("a number of accelerators");
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
      throw unexpected(option, expected);
  }
}

function parseLimit(reader: TokenReader, builder: RulesBuilder): void {
  reader.keyword("account");
  const account = builder.reference("account", reader.name("an account name"));
  reader.keyword("waiting");
  const limit = reader.count("a number of requests");
  builder.later(() => builder.account(account).waitingLimit = limit);
  reader.end();
}

function parseKey(reader: TokenReader, builder: RulesBuilder): void {
  reader.keyword("account");
  const account = builder.reference("account", reader.name("an account name"));
  reader.keyword("sha256");
  const digest = reader.word("a SHA-256 digest");
  if (!/^[0-9a-f]{64}$/.test(digest.text)) {
    throw unexpected(digest, "64 hexadecimal digits in lower case");
  }
  builder.later(() => builder.account(account).keyDigests.push(digest.text));
  reader.end();
}

function parseAllow(reader: TokenReader, builder: RulesBuilder): void {
  reader.keyword("account");
  const account = builder.reference("account", reader.name("an account name"));
  reader.keyword("class");
  do {
    const name = builder.reference("class", reader.name("a class name"));
    builder.later(() => builder.account(account).classes.push(name.text));
  } while (!reader.isAtEnd());
}

function parseRefuse(reader: TokenReader, builder: RulesBuilder): void {
  reader.keyword("class");
  const name = builder.reference("class", reader.name("a class name"));
  reader.keyword("when");
  reader.keyword("waiting");
  reader.keyword("over");
  const limit = reader.count("a number of requests");
  builder.later((classes) => {
    const rule = classes.get(name.text);
    if (rule !== undefined) rule.refuseOver = limit;
  });
  reader.end();
}

interface TokenReader {
  word(expected: string): Token;
  name(expected: string): Token;
  count(expected: string): number;
  positive(expected: string): number;
  duration(): Milliseconds;
  keyword(...words: string[]): string;
  isAtEnd(): boolean;
  end(): void;
}

function createTokenReader(tokens: Token[], endColumn: number): TokenReader {
  let position = 0;
  const word = (expected: string): Token => {
    const token = tokens[position++];
    if (token !== undefined) return token;
    throw new RuleError(
      endColumn,
      `expected ${expected}, found the line's end`,
    );
  };
  const match = (expected: string, pattern: RegExp): Token => {
    const token = word(expected);
    if (!pattern.test(token.text)) throw unexpected(token, expected);
    return token;
  };
  const isAtEnd = () => position >= tokens.length;
  return {
    word,
    isAtEnd,
    name: (expected) => match(expected, /^[a-z0-9][a-z0-9._-]{0,63}$/),
    count: (expected) => Number(match(expected, /^\d{1,9}$/).text),
    positive: (expected) => Number(match(expected, /^[1-9]\d{0,8}$/).text),
    duration: () => {
      const token = match("a duration such as 500ms, 2s, 5m or 1h", DURATION);
      const [, amount, unit] = DURATION.exec(token.text)!;
      return Number(amount) * UNIT_MS[unit];
    },
    keyword: (...words) => {
      const token = word(words.join(" or "));
      if (words.includes(token.text)) return token.text;
      throw unexpected(token, words.join(" or "));
    },
    end: () => {
      if (!isAtEnd()) throw unexpected(tokens[position], "the line's end");
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

function unexpected(token: Token, expected: string): RuleError {
  const found = JSON.stringify(token.text);
  return new RuleError(token.column, `expected ${expected}, found ${found}`);
}

interface Reference {
  kind: "account" | "class";
  name: string;
  line: number;
  column: number;
}

interface RulesBuilder {
  nextLine(): void;
  account(name: Token): AccountRule;
  newClass(name: Token): ClassRule;
  reference(kind: Reference["kind"], name: Token): Token;
  later(action: (classes: Map<string, ClassRule>) => void): void;
  findDanglingNames(): RuleFault[];
  build(): Rules;
}

function createRulesBuilder(): RulesBuilder {
  const accounts = new Map<string, AccountRule>();
  const classes = new Map<string, ClassRule>();
  const references: Reference[] = [];
  const actions: ((classes: Map<string, ClassRule>) => void)[] = [];
  let line = 0;
  return {
    nextLine: () => line++,
    account: ({ text: name }) => {
      const known = accounts.get(name) ?? newAccountRule(name);
      accounts.set(name, known);
      return known;
    },
    newClass: ({ text: name, column }) => {
      if (classes.has(name)) {
        throw new RuleError(column, `class ${name} is defined twice`);
      }
      const rule = newClassRule(name);
      classes.set(name, rule);
      return rule;
    },
    reference: (kind, name) => {
      references.push({ kind, name: name.text, line, column: name.column });
      return name;
    },
    later: (action) => actions.push(action),
    findDanglingNames: () =>
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
      actions.forEach((action) => action(classes));
      return { accounts, classes };
    },
  };
}

function newAccountRule(name: string): AccountRule {
  return {
    name,
    weight: 1,
    guarantees: [],
    keyDigests: [],
    waitingLimit: DEFAULT_WAITING_LIMIT,
    classes: [],
  };
}

function newClassRule(name: string): ClassRule {
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
