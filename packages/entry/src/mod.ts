export * from "./entry.ts";
export * from "./settings.ts";
