export * from "./settings_file.ts";
