export * from "./network.ts";
export * from "./relay.ts";
export * from "./runner.ts";
export * from "./scenario_file.ts";
