/** Values of a log line; names are part of the interface for operators. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Structured log of a process; a line is an object with a message. */
export interface Logger {
  info(fields: LogFields, message: string): void;
  warn(fields: LogFields, message: string): void;
  error(fields: LogFields, message: string): void;
}

/** A log that drops everything; for tests and simulations. */
export const silentLogger: Logger = {
  info: () => {},
  warn: () => {},
  error: () => {},
};
