export { StoreClient } from "./client.js";
export { createPlatform } from "./create.js";
export { EmbeddedPlatform } from "./embedded.js";
export { HttpPlatform } from "./http.js";
