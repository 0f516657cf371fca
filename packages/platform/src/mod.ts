export * from "./http_client.ts";
export * from "./log_client.ts";
export * from "./worker_client.ts";
