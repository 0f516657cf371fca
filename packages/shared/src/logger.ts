/**
 * Named values of a log line. The names are part of the interface for
 * operators.
 */
export type LogFields = Readonly<Record<string, unknown>>;

/** Structured log of a process: each line has named values and a message. */
export interface Logger {
  info(fields: LogFields, message: string): void;
  warn(fields: LogFields, message: string): void;
  error(fields: LogFields, message: string): void;
}

/** Logger that discards every line, for tests and simulations. */
export const silentLogger: Logger = {
  info: () => {},
  warn: () => {},
  error: () => {},
};
