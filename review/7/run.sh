#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/shallot-sidecar ] && [ -x "target/review-2/$(basename "$folder")" ] || exit 2
exec timeout -k 5 115 "target/review-2/$(basename "$folder")" "$folder"
