// Installs the locked packages when node_modules is missing or older than the lock file.
import { execFileSync } from "node:child_process";
import { existsSync, statSync } from "node:fs";

const INSTALLED = "node_modules/.package-lock.json";
const LOCK = "package-lock.json";

const isCurrent = existsSync(INSTALLED) &&
  statSync(INSTALLED).mtimeMs >= statSync(LOCK).mtimeMs;
if (!isCurrent) {
  console.error("installing packages");
  execFileSync("npm", ["ci", "--no-audit", "--no-fund"], {
    stdio: ["ignore", "ignore", "inherit"],
  });
}
