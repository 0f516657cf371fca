export * from "./exit_codes.ts";
export * from "./guarantee_check.ts";
export * from "./rules_diff.ts";
export * from "./rules_store.ts";
