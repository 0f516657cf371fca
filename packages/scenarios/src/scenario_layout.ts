import type { SystemLayout } from "@rattanhill/standins";
import type { Scenario } from "./scenario_file.ts";

// Comment on every rule, since a rules file must name who requested each one.
const RULE_COMMENT = "# asked by: the scenarios";

/**
 * Composes the system of a scenario: its zones and rules, with the accounts and
 * classes that all scenarios share.
 *
 * @param scenario the scenario
 * @returns layout of the system to start
 */
export function layoutOf({ zones, rules }: Scenario): SystemLayout {
  return {
    zones,
    accounts: [
      {
        name: "notun",
        key: "notun-key",
        classes: ["draft", "venue", "booking"],
      },
      {
        name: "vatuwaqa",
        key: "vatuwaqa-key",
        classes: ["route", "crates", "dawn"],
      },
    ],
    rules: [
      `account notun weight 1 ${RULE_COMMENT}`,
      `account vatuwaqa weight 1 ${RULE_COMMENT}`,
      `class draft priority 90 wait 20s expected 100ms ${RULE_COMMENT}`,
      `class venue priority 30 wait 25s parts 4 accelerators 4 adjacent rack expected 1s ${RULE_COMMENT}`,
      `class dawn priority 60 wait 20s not-preemptible parts 2 accelerators 8 adjacent rack expected 500ms ${RULE_COMMENT}`,
      `class booking priority 80 wait 20s not-repeatable expected 200ms ${RULE_COMMENT}`,
      `class route priority 90 wait 20s not-repeatable accelerators 2 expected 500ms ${RULE_COMMENT}`,
      ...rules.map((rule) => `${rule} ${RULE_COMMENT}`),
      `class crates priority 20 wait 25s expected 500ms ${RULE_COMMENT}`,
    ],
  };
}
