import process from "node:process";

/** Writes results for people or for programs. */
export interface Output {
  /** Writes a result: one JSON line, or the text. */
  result(value: object, text: string): void;
  /** Writes a fault to the standard error stream. */
  fault(text: string): void;
  /** Shows on a terminal that something is waited for. @returns ends the display */
  waiting(text: string): () => void;
}

const PROGRESS_INTERVAL_MS = 500;

/**
 * Creates the output of the command.
 *
 * @param options whether programs read it
 * @returns the output
 */
export function createOutput({ json }: { json: boolean }): Output {
  return {
    result: (value, text) => console.log(json ? JSON.stringify(value) : text),
    fault: (text) => console.error(`rattanhill: ${text}`),
    waiting: (text) => {
      if (json || !process.stderr.isTTY) return () => {};
      const startedAt = Date.now();
      const show = () => {
        const seconds = Math.round((Date.now() - startedAt) / 1_000);
        process.stderr.write(`\r${text} ${seconds} s`);
      };
      const timer = setInterval(show, PROGRESS_INTERVAL_MS);
      return () => {
        clearInterval(timer);
        process.stderr.write("\r\x1b[K");
      };
    },
  };
}
