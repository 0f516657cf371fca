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
  /** First line of the process's standard output, parsed as JSON. */
  ready: Record<string, unknown>;
  /** Resolves with the exit code; with `undefined` after a signal. */
  exited: Promise<number | undefined>;
  signal(name: NodeJS.Signals): void;
}

/** Starts stand-ins and entries as child processes; for development only. */
export interface Launcher {
  /** Starts a program and waits until it has printed its first line. */
  launch(
    name: string,
    program: Program,
    args: readonly string[],
  ): Promise<LaunchedProcess>;
  /** @returns processes that have not exited */
  running(): readonly LaunchedProcess[];
  /**
   * Resumes frozen processes and ends all with SIGTERM; those that remain
   * after 8 s, with SIGKILL.
   */
  stopAll(): Promise<void>;
}

/** Programs that the launcher starts, by the paths of their compiled files. */
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
 * @param directory directory for the processes' logs, created if missing
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
    const stderrLines: string[] = [];
    createInterface({ input: child.stderr }).on("line", (line) => {
      stderrLines.push(line);
      if (stderrLines.length > 2_000) stderrLines.shift();
    });
    const exited = new Promise<number | undefined>((resolve) =>
      child.once("exit", (code) => {
        children.delete(child);
        if (stderrLines.length > 0) {
          writeFileSync(join(directory, `${name}.log`), stderrLines.join("\n"));
        }
        resolve(code ?? undefined);
      })
    );
    const ready = await readReadyLine(child, name, stderrLines);
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
      const remaining = [...children.values()];
      for (const { signal } of remaining) {
        signal("SIGCONT");
        signal("SIGTERM");
      }
      const killTimer = setTimeout(
        () => remaining.forEach(({ signal }) => signal("SIGKILL")),
        STOP_TIMEOUT_MS,
      );
      await Promise.all(remaining.map(({ exited }) => exited));
      clearTimeout(killTimer);
    },
  };
}

/**
 * Finds free ports on loopback, below the ephemeral range from which the
 * operating system assigns ports to other sockets.
 *
 * @param count number of ports
 * @returns the ports
 * @throws Error when the range has too few free ports
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  const first = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
  for (let offset = 0; ports.length < count; offset++) {
    if (offset > PORT_COUNT) {
      throw new Error(
        `found ${ports.length} of ${count} free ports on loopback`,
      );
    }
    const port = FIRST_PORT + (first - FIRST_PORT + offset) % PORT_COUNT;
    if (await isPortFree(port)) ports.push(port);
  }
  return ports;
}

// Range of ports that `findFreePorts` searches from a random start.
const FIRST_PORT = 15_000;
const PORT_COUNT = 16_000;

function isPortFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}

/**
 * Writes a settings file.
 *
 * @param directory directory of the file
 * @param name file name without extension
 * @param settings settings to write as YAML
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

function readReadyLine(
  child: ChildProcess,
  name: string,
  stderrLines: readonly string[],
): Promise<Record<string, unknown>> {
  return new Promise((resolve, reject) => {
    const fail = (reason: string) =>
      reject(
        new Error(`${name} ${reason}: ${stderrLines.slice(-5).join("; ")}`),
      );
    const timer = setTimeout(
      () => fail(`was not ready in ${START_TIMEOUT_MS} ms`),
      START_TIMEOUT_MS,
    );
    child.once("exit", (code) => fail(`exited early with code ${code}`));
    createInterface({ input: child.stdout! }).on("line", (line) => {
      clearTimeout(timer);
      resolve(JSON.parse(line));
    });
  });
}
