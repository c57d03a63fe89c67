#!/usr/bin/env node
/** Daemon: handles signals from the start on, and loads the rest of the program after that. */
import "./daemon-signals.js";

await import("./daemon.js");
