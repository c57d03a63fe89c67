#!/usr/bin/env bash
# Builds the cases with their stand-ins into target/review. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
npx --no-install esbuild review/*/case.es6 --bundle --platform=node --format=esm --loader:.es6=js \
    --outdir=target/review --outbase=review --out-extension:.js=.mjs --log-level=warning
