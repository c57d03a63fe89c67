export { AttemptKind, type AttemptResult, type HeaderList, type UpstreamRequest } from "./attempt.js";
export { Upstream } from "./upstream.js";
