/** Exit codes of the command. */
export const ExitCode = {
  /** Done as asked. */
  done: 0,
  /** Failed, or certainly not run. */
  failed: 1,
  /** Arguments or a file are not valid; nothing was changed. */
  invalid: 2,
  /** Another operator's rules were accepted first. */
  overtaken: 3,
  /** It is not known whether it took effect. */
  unknown: 4,
} as const;

/** One of the values of {@link ExitCode}. */
export type ExitCode = typeof ExitCode[keyof typeof ExitCode];
