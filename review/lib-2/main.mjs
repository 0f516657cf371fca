// Runs a trial and turns its finding into the exit code of its script.
import process from "node:process";

/**
 * Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
 * run.
 *
 * @param run resolves to the lines that tell how the rule was broken
 */
export async function main(run) {
  try {
    const broken = await run();
    for (const line of broken) console.log(line);
    console.log(broken.length > 0 ? "RULE BROKEN" : "rule held");
    process.exit(broken.length > 0 ? 1 : 0);
  } catch (error) {
    console.log(`could not run: ${error.stack ?? error}`);
    process.exit(2);
  }
}
