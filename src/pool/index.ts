export { Domain, type DomainOptions, type PhaseAnswer } from "./domain.js";
export { FleetKeeper } from "./fleet-keeper.js";
export * from "./job-rows.js";
export { progressKey } from "./ledger.js";
export { type MemberRow } from "./member-rows.js";
export * from "./ownership.js";
export * from "./ports.js";
export type { TenureTimes } from "./tenure-context.js";
export type { Tenure } from "./tenure.js";
