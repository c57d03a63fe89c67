#!/usr/bin/env bash
# Builds the stand-ins and the cases of the third review into target/review-3. Needs what `npm ci` installs.
set -euo pipefail
cd "$(dirname "$0")/.."
npx --no-install tsc -p review/lib-3/tsconfig.json
npx --no-install esbuild review/lib-3/*.ts --format=esm --platform=node --target=node20 \
    --outdir=target/review-3 --log-level=warning
echo '{"type":"module"}' > target/review-3/package.json
