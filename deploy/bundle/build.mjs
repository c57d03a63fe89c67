// Bundles the daemon into one file; the first argument names the file, which is target/celerywind-site.js if left out.
import { build } from "esbuild";
import { fileURLToPath } from "node:url";

const here = path => fileURLToPath(new URL(path, import.meta.url));

await build({
    entryPoints: [here("../../platform/main.ts")],
    outfile: process.argv[2] ?? here("../../target/celerywind-site.js"),
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    mainFields: ["module", "main"],
    alias: { undici: here("undici.cjs") },
    minifyWhitespace: true,
    minifySyntax: true,
    logLevel: "warning",
    banner: { js: "import { createRequire as makeRequire } from 'node:module'; const require = makeRequire(import.meta.url);" },
});
