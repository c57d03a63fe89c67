export * from "./codec.js";
export * from "./open-tasks.js";
export * from "./progress-codec.js";
export * from "./spec.js";
export * from "./state.js";
export * from "./task-id.js";
export * from "./worker-loss.js";
