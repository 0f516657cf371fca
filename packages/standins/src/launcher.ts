import { type ChildProcess, spawn } from "node:child_process";
import { mkdirSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { join } from "node:path";
import { createInterface } from "node:readline";
import process from "node:process";
import { fileURLToPath } from "node:url";
import type { Milliseconds } from "@rattanhill/shared";
import { stringify } from "yaml";

/** A process started by the launcher. */
export interface LaunchedProcess {
  name: string;
  pid: number;
  /** First line that the process printed, parsed. */
  ready: Record<string, unknown>;
  /** Fulfilled when the process ended, with its exit code. */
  exited: Promise<number | undefined>;
  signal(name: NodeJS.Signals): void;
}

/** Starts stand-ins and entries as processes of their own, for development only. */
export interface Launcher {
  /** Starts a program and waits for its first line. */
  launch(
    name: string,
    program: Program,
    args: readonly string[],
  ): Promise<LaunchedProcess>;
  /** @returns processes that have not ended */
  running(): readonly LaunchedProcess[];
  /** Ends every process that is left. */
  stopAll(): Promise<void>;
}

/** Programs that the launcher knows, by the path of their compiled file. */
export const Program = {
  entry: fileURLToPath(
    new URL("../../../daemon/dist/src/main.js", import.meta.url),
  ),
  worker: fileURLToPath(new URL("./worker_main.js", import.meta.url)),
  platform: fileURLToPath(new URL("./platform_main.js", import.meta.url)),
} as const;

/** One of the values of {@link Program}. */
export type Program = typeof Program[keyof typeof Program];

const START_TIMEOUT_MS: Milliseconds = 30_000;
const STOP_TIMEOUT_MS: Milliseconds = 8_000;

/**
 * Creates a launcher.
 *
 * @param directory folder for logs and settings
 * @returns the launcher
 */
export function createLauncher(directory: string): Launcher {
  mkdirSync(directory, { recursive: true });
  const children = new Map<ChildProcess, LaunchedProcess>();

  const launch: Launcher["launch"] = async (name, program, args) => {
    const child = spawn(process.execPath, [program, ...args], {
      stdio: ["ignore", "pipe", "pipe"],
      env: { ...process.env, DEBUG_COLORS: "no" },
    });
    const errors: string[] = [];
    createInterface({ input: child.stderr }).on("line", (line) => {
      errors.push(line);
      if (errors.length > 2_000) errors.shift();
    });
    const exited = new Promise<number | undefined>((resolve) =>
      child.once("exit", (code) => {
        children.delete(child);
        if (errors.length > 0) {
          writeFileSync(join(directory, `${name}.log`), errors.join("\n"));
        }
        resolve(code ?? undefined);
      })
    );
    const ready = await firstLine(child, name, errors);
    const launched: LaunchedProcess = {
      name,
      pid: child.pid!,
      ready,
      exited,
      signal: (signal) => child.kill(signal),
    };
    children.set(child, launched);
    return launched;
  };

  return {
    launch,
    running: () => [...children.values()],
    stopAll: async () => {
      const left = [...children.values()];
      for (const { signal } of left) {
        signal("SIGCONT");
        signal("SIGTERM");
      }
      const force = setTimeout(
        () => left.forEach(({ signal }) => signal("SIGKILL")),
        STOP_TIMEOUT_MS,
      );
      await Promise.all(left.map(({ exited }) => exited));
      clearTimeout(force);
    },
  };
}

/**
 * Finds free ports on loopback, below the range that the system gives out by itself.
 *
 * @param count how many
 * @returns the ports
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  const first = FIRST_PORT + Math.floor(Math.random() * PORT_SPAN);
  for (let offset = 0; ports.length < count; offset++) {
    if (offset > PORT_SPAN) throw new Error("no free ports");
    const port = FIRST_PORT + (first - FIRST_PORT + offset) % PORT_SPAN;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

const FIRST_PORT = 15_000;
const PORT_SPAN = 16_000;

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}

/**
 * Writes a settings file.
 *
 * @param directory folder
 * @param name name without ending
 * @param settings content
 * @returns path of the file
 */
export function writeSettings(
  directory: string,
  name: string,
  settings: object,
): string {
  const path = join(directory, `${name}.yaml`);
  writeFileSync(path, stringify(settings));
  return path;
}

function firstLine(
  child: ChildProcess,
  name: string,
  errors: readonly string[],
): Promise<Record<string, unknown>> {
  return new Promise((resolve, reject) => {
    const fail = (reason: string) =>
      reject(new Error(`${name} ${reason}: ${errors.slice(-5).join("; ")}`));
    const timer = setTimeout(() => fail("did not start"), START_TIMEOUT_MS);
    child.once("exit", (code) => fail(`ended with ${code}`));
    createInterface({ input: child.stdout! }).on("line", (line) => {
      clearTimeout(timer);
      resolve(JSON.parse(line));
    });
  });
}
