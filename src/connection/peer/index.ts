export { type Identity } from "./link.js";
export { Mesh, type PeerAddress } from "./mesh.js";
