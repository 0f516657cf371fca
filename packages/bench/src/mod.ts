export * from "./policy_bench.ts";
export * from "./simulation.ts";
export * from "./targets.ts";
