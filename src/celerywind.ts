#!/usr/bin/env node
/** The command-line tool for operators. */
import { createCli } from "./cli/index.js";

await createCli().runExit(process.argv.slice(2));
