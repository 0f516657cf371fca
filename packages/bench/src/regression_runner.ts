import { spawn } from "node:child_process";
import { existsSync, readdirSync, readFileSync, writeFileSync } from "node:fs";
import { basename, join } from "node:path";
import {
  compareScores,
  keepScores,
  type KeptFigures,
  parseScore,
  type RegressionReport,
  type ScoredSite,
} from "./regression.ts";

/** Options of {@link runRegression}. */
export interface RegressionOptions {
  /** Path of the users' bench. */
  program: string;
  /** Paths of the site files. */
  sites: readonly string[];
  /** Number of days to play at the same time. */
  jobs: number;
  /** Folder of the bench's journal. */
  journal: string;
  /** File with the kept figures. */
  keptFile: string;
  /** Whether to replace the kept figures by those of this run. */
  keep: boolean;
}

/**
 * Scores deployments with the users' bench, one after the other, and compares
 * the worth of each day with the kept figures.
 *
 * @param options the bench, the deployments and the kept figures
 * @returns the comparison
 * @throws Error when the bench ends without a score
 */
export async function runRegression(
  options: RegressionOptions,
): Promise<RegressionReport> {
  const { program, sites, jobs, journal, keptFile, keep } = options;
  const scores: ScoredSite[] = [];
  for (const site of sites) {
    const before = new Set(readdirSync(journal));
    await runProgram(program, ["score", site, "--jobs", String(jobs)]);
    scores.push(findScore(site, journal, before));
  }
  const kept = readKeptFigures(keptFile);
  if (keep) {
    const text = JSON.stringify(keepScores(scores, kept), undefined, 2);
    writeFileSync(keptFile, `${text}\n`);
  }
  return compareScores(scores, kept);
}

function readKeptFigures(file: string): KeptFigures {
  return existsSync(file) ? JSON.parse(readFileSync(file, "utf8")) : {};
}

/** Finds the score of a site among the journal's new entries. */
function findScore(
  siteFile: string,
  journal: string,
  before: ReadonlySet<string>,
): ScoredSite {
  const site = basename(siteFile, ".toml");
  const newEntries = readdirSync(journal).filter((name) =>
    name.endsWith(".json") && !before.has(name)
  );
  for (const name of newEntries) {
    const score = parseScore(readFileSync(join(journal, name), "utf8"));
    if (score?.site === site) return score;
  }
  throw new Error(
    `no score of ${site} among ${newEntries.length} new entries of ${journal}`,
  );
}

/** Runs a program; its output goes to the terminal. */
function runProgram(program: string, words: readonly string[]): Promise<void> {
  return new Promise((resolve, reject) => {
    const child = spawn(program, words, { stdio: "inherit" });
    child.once("error", reject);
    // The bench's exit code tells of the gate, which the journal has too.
    child.once("close", () => resolve());
  });
}
