/** A day of a score, as the users' bench writes it into its journal. */
export interface ScoredDay {
  name: string;
  /** Share of the owed value that was earned, less prices. */
  worth: number;
  /** Names of broken rules with the number of times. */
  brokenRules: Readonly<Record<string, number>>;
  hasPassed: boolean;
}

/** A score of one deployment. */
export interface ScoredSite {
  /** Name of the deployment. */
  site: string;
  days: readonly ScoredDay[];
}

/** Kept worth of each day, by deployment and day. */
export type KeptFigures = Readonly<
  Record<string, Readonly<Record<string, number>>>
>;

/** A day beside its kept figure. */
export interface RegressionRow {
  site: string;
  day: string;
  worth: number;
  /** Kept worth; undefined for a day that was never kept. */
  kept?: number;
  difference?: number;
  /** Broken rules as `NAME count`; empty when none is broken. */
  broken: string;
  gate: "passed" | "failed";
}

/** Result of comparing scores with the kept figures. */
export interface RegressionReport {
  rows: RegressionRow[];
  /** What makes the run fail; empty when nothing has regressed. */
  faults: string[];
}

/**
 * Fall of a deployment's mean worth that counts as a regression. The users call
 * smaller changes noise.
 */
export const MAXIMUM_FALL = 0.03;

/**
 * Decodes an entry of the bench's journal.
 *
 * @param text the entry
 * @returns the score; undefined when the entry is not a finished score
 */
export function parseScore(text: string): ScoredSite | undefined {
  const entry = JSON.parse(text);
  if (entry.cmd !== "score" || !Array.isArray(entry.days)) return undefined;
  return {
    site: String(entry.site),
    days: entry.days.map((day: Record<string, unknown>) => ({
      name: String(day.name),
      // The journal's name for the worth of a day.
      worth: Number(day.G),
      brokenRules: day.rules ?? {},
      hasPassed: day.gate === true,
    })),
  };
}

/**
 * Compares scores with the kept figures.
 *
 * @param scores one score of each deployment
 * @param kept figures of an earlier version
 * @returns a row for each day, and the faults
 */
export function compareScores(
  scores: readonly ScoredSite[],
  kept: KeptFigures,
): RegressionReport {
  const rows: RegressionRow[] = [];
  const faults: string[] = [];
  for (const { site, days } of scores) {
    const siteRows = days.map((day) => compareDay(site, day, kept[site]));
    rows.push(...siteRows);
    for (const { day, broken, gate } of siteRows) {
      if (broken !== "") faults.push(`${site} ${day}: ${broken}`);
      else if (gate === "failed") faults.push(`${site} ${day}: gate failed`);
    }
    const known = siteRows.filter(({ kept }) => kept !== undefined);
    if (known.length === 0) continue;
    const fall = -meanOf(known.map(({ difference }) => difference!));
    if (fall <= MAXIMUM_FALL) continue;
    faults.push(
      `${site}: mean worth fell by ${
        roundWorth(fall)
      }, allowed ${MAXIMUM_FALL}`,
    );
  }
  return { rows, faults };
}

/**
 * Updates kept figures.
 *
 * @param scores scores whose figures are to be kept
 * @param kept the figures so far
 * @returns the figures; days that were drawn for one run are left out
 */
export function keepScores(
  scores: readonly ScoredSite[],
  kept: KeptFigures,
): KeptFigures {
  const entries = scores.map(({ site, days }) => {
    const standardDays = days.filter(({ name }) => !isDrawnDay(name));
    return [
      site,
      Object.fromEntries(
        standardDays.map(({ name, worth }) => [name, roundWorth(worth)]),
      ),
    ] as const;
  });
  return { ...kept, ...Object.fromEntries(entries) };
}

function compareDay(
  site: string,
  { name, worth, brokenRules, hasPassed }: ScoredDay,
  kept: Readonly<Record<string, number>> = {},
): RegressionRow {
  const keptWorth = kept[name];
  return {
    site,
    day: name,
    worth: roundWorth(worth),
    kept: keptWorth,
    difference: keptWorth === undefined
      ? undefined
      : roundWorth(worth - keptWorth),
    broken: Object.entries(brokenRules).map(([rule, count]) =>
      `${rule} ${count}`
    ).join(", "),
    gate: hasPassed ? "passed" : "failed",
  };
}

/** Tests whether a day was drawn for one run; its name has a random part. */
function isDrawnDay(name: string): boolean {
  return name.startsWith("fresh-");
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function roundWorth(worth: number): number {
  return Math.round(worth * 1_000) / 1_000;
}
