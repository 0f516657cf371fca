/** Exit codes of the `rattanhill` command. */
export const ExitCode = {
  /** The command succeeded. */
  done: 0,
  /** The command failed, or the request certainly did not run. */
  failed: 1,
  /** Arguments or a file are invalid; nothing was changed. */
  invalid: 2,
  /** Rules of another operator were accepted first. */
  overtaken: 3,
  /** The outcome is unknown: the command may have taken effect. */
  unknown: 4,
} as const;

/** One of the values of {@link ExitCode}. */
export type ExitCode = typeof ExitCode[keyof typeof ExitCode];
