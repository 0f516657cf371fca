export * from "./clock.ts";
export * from "./errors.ts";
export * from "./events.ts";
export * from "./identifiers.ts";
export * from "./isolation.ts";
export * from "./line_limit.ts";
export * from "./logger.ts";
export * from "./pause.ts";
