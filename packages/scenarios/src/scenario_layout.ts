import type { SystemLayout } from "@rattanhill/standins";
import type { Scenario } from "./scenario_file.ts";

const BY = "# asked by: the scenarios";

/**
 * Composes the system of a scenario: its zones, with the accounts and classes
 * that all scenarios share.
 *
 * @param scenario the scenario
 * @returns the layout
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
      `account notun weight 1 ${BY}`,
      `account vatuwaqa weight 1 ${BY}`,
      `class draft priority 90 wait 20s expected 100ms ${BY}`,
      `class venue priority 30 wait 25s parts 4 accelerators 4 adjacent rack expected 1s ${BY}`,
      `class dawn priority 60 wait 20s not-preemptible parts 2 accelerators 8 adjacent rack expected 500ms ${BY}`,
      `class booking priority 80 wait 20s not-repeatable expected 200ms ${BY}`,
      `class route priority 90 wait 20s not-repeatable accelerators 2 expected 500ms ${BY}`,
      ...rules.map((rule) => `${rule} ${BY}`),
      `class crates priority 20 wait 25s expected 500ms ${BY}`,
    ],
  };
}
