import process from "node:process";

/** Writes results to the terminal, as text or as JSON. */
export interface Output {
  /**
   * Writes a result to standard output: the value as one line of JSON, or the
   * text.
   */
  writeResult(value: object, text: string): void;
  /** Writes an error to standard error. */
  writeError(text: string): void;
  /**
   * Shows on a terminal what the command waits for, and for how long it has
   * waited.
   *
   * @returns a function that removes the line
   */
  showProgress(text: string): () => void;
}

const PROGRESS_INTERVAL_MS = 500;

/**
 * Creates the output of a command.
 *
 * @param options whether to write results as JSON, without progress
 * @returns the output
 */
export function createOutput({ json }: { json: boolean }): Output {
  return {
    writeResult: (value, text) =>
      console.log(json ? JSON.stringify(value) : text),
    writeError: (text) => console.error(`rattanhill: ${text}`),
    showProgress: (text) => {
      if (json || !process.stderr.isTTY) return () => {};
      const startedAt = Date.now();
      const show = () => {
        const seconds = Math.round((Date.now() - startedAt) / 1_000);
        process.stderr.write(`\r${text} ${seconds} s`);
      };
      const timer = setInterval(show, PROGRESS_INTERVAL_MS);
      return () => {
        clearInterval(timer);
        // Returns to the start of the line and clears it.
        process.stderr.write("\r\x1b[K");
      };
    },
  };
}
