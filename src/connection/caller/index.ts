export { readBody, sendBody, sendJson, type WebHandler, WebListener, type WebRequest } from "./web.js";
