export { type Identity } from "./link.js";
export { Mesh, type PeerAddress } from "./mesh.js";
export { noticeBytes } from "./message.js";
