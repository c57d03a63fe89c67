#!/usr/bin/env bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
program=$folder/../../target/review/$(basename "$folder")/case.mjs
[ -f "$program" ] && [ -f "$folder/../../target/celerywind-site.js" ] || { echo "run the build and review/build.sh first"; exit 2; }
exec node "$program" "$folder"
