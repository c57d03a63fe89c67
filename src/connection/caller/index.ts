export { type BodyResult, readBody, refusedBodyStatus, sendBody, sendJson } from "./body.js";
export type { RequestHandler } from "./connection.js";
export { RefusalCause } from "./limit-report.js";
export { type CallerLimits, type CallerLimitSettings } from "./limits.js";
export { HttpListener } from "./listener.js";
export { type WebHandler, WebListener, type WebRequest } from "./web.js";
