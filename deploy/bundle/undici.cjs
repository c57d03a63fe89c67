// The part of undici that the daemon uses; the whole package takes twice as long to load after a restart.
module.exports = { Pool: require("../../node_modules/undici/lib/dispatcher/pool.js") };
