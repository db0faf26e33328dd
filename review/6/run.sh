#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# record.txt, beside this script, gets what was sent, answered and run.
folder=$(cd "$(dirname "$0")" && pwd)
record="$folder/record.txt"
program="target/review-2/$(basename "$folder")"
cd "$folder/../.." || exit 2
if [ ! -x target/shallot-sidecar ] || [ ! -x "$program" ]; then
    echo "could not run: target/shallot-sidecar or $program is not built" | tee "$record"
    exit 2
fi
: >"$record" || exit 2
exec timeout -k 5 110 "$program" "$record"
