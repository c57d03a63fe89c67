#!/usr/bin/env node
/** Entry point of the command-line tool for operators. */
import { createCli } from "./cli/index.js";

await createCli().runExit(process.argv.slice(2));
