// Installs the packages of the lock file if they are missing or older than it.
import { execFileSync } from "node:child_process";
import { existsSync, statSync } from "node:fs";

const INSTALLED_LOCK_FILE = "node_modules/.package-lock.json";
const LOCK_FILE = "package-lock.json";

const isCurrent = existsSync(INSTALLED_LOCK_FILE) &&
  statSync(INSTALLED_LOCK_FILE).mtimeMs >= statSync(LOCK_FILE).mtimeMs;
if (!isCurrent) {
  console.error("installing packages");
  execFileSync("npm", ["ci", "--no-audit", "--no-fund"], {
    stdio: ["ignore", "ignore", "inherit"],
  });
}
