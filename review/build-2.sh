#!/usr/bin/env bash
# Builds the cases of the second review and the stand-ins that they start, into target/review-2. Run it after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
npx --no-install tsc -p review/lib-2/tsconfig.json
npx --no-install esbuild \
    review/lib-2/large-submission.ts \
    review/lib-2/lowered-cap.ts \
    review/lib-2/cancel-after-504.ts \
    review/lib-2/late-vm-order.ts \
    review/lib-2/wide-gang.ts \
    --bundle --platform=node --format=esm --target=node20 --packages=external --log-level=warning \
    --outdir=target/review-2
