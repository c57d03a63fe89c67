export { createPlatform } from "./create.js";
export { EmbeddedPlatform } from "./embedded.js";
export { HttpPlatform } from "./http.js";
export { StoreClient } from "./store-client.js";
