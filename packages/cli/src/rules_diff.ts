import type { Rules } from "@rattanhill/core";

/** A rule that differs between two rules files. */
export interface RuleChange {
  kind: "added" | "removed" | "changed";
  /** Kind and name of the rule, for example `class route-plan`. */
  rule: string;
  before?: unknown;
  after?: unknown;
}

/**
 * Compares two sets of parsed rules, so that comments and layout do not count.
 *
 * @param before rules in force
 * @param after rules to publish
 * @returns the rules that publishing would add, remove or change
 */
export function diffRules(before: Rules, after: Rules): RuleChange[] {
  return [
    ...diffMaps("account", before.accounts, after.accounts),
    ...diffMaps("class", before.classes, after.classes),
  ];
}

function diffMaps(
  kind: string,
  before: ReadonlyMap<string, unknown>,
  after: ReadonlyMap<string, unknown>,
): RuleChange[] {
  const names = [...new Set([...before.keys(), ...after.keys()])].sort();
  return names.flatMap((name): RuleChange[] => {
    const rule = `${kind} ${name}`;
    const old = before.get(name);
    const next = after.get(name);
    if (old === undefined) return [{ kind: "added", rule, after: next }];
    if (next === undefined) return [{ kind: "removed", rule, before: old }];
    const isSame = JSON.stringify(old) === JSON.stringify(next);
    return isSame ? [] : [{ kind: "changed", rule, before: old, after: next }];
  });
}
