export { type BodyResult, readBody, sendBody, sendJson } from "./body.js";
export { HttpListener } from "./listener.js";
export { type WebHandler, WebListener, type WebRequest } from "./web.js";
