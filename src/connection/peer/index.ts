export { notificationBytes as noticeBytes } from "./message.js";
export { type PeerIdentity as Identity } from "./peer-link.js";
export { PeerMesh as Mesh } from "./peer-mesh.js";
