#!/usr/bin/env bash
# The main job: a log service, nine daemons in three availability zones, each with a backend server, the configuration
# applied by shallotctl, and callers of several organisations. Ends by itself and prints what each organisation got.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${SHALLOT_BIN:-build}
port=${SHALLOT_DEMO_PORT:-21000}
seconds=${SHALLOT_DEMO_SECONDS:-10}
work=$(mktemp -d)
. scripts/fleet.sh

finish() {
    local status=$?
    end_fleet
    if [ "$status" = 0 ]; then rm -rf "$work"; else echo "logs are kept in $work" >&2; fi
}
trap finish EXIT

start_log
# profiles calls status; matcher runs confirmations at most once.
services=(profiles matcher status)
latencies=(3 4 1)
onwards=("/internal/status" "" "")
node=0
for zone in a b c; do
    for i in 0 1 2; do
        start_daemon "$node" "$zone-${services[$i]}" "zone-$zone"
        start_backend "$node" "${services[$i]}" 16 "${latencies[$i]}" "${onwards[$i]}"
        node=$((node + 1))
    done
done
echo "Started one log service, 9 daemons in 3 zones and 9 backend servers."
wait_for_admin

cat >"$work/lists.json" <<JSON
{
  "zones": { "zone-a": {}, "zone-b": {}, "zone-c": {} },
  "routes": {
    "profiles": { "path": "/profiles", "service": "profiles", "priority": 6 },
    "browse": { "path": "/browse", "service": "profiles", "priority": 2 },
    "confirm": { "path": "/confirm", "service": "matcher", "priority": 7, "idempotent": false },
    "internal-status": { "path": "/internal/status", "service": "status", "priority": 3 },
    "about": { "path": "/about", "service": "status", "priority": 1, "open": true }
  },
  "plans": {
    "school": { "rate": 150, "burst": 60, "routes": ["profiles", "browse", "confirm"] },
    "trial": { "rate": 20, "burst": 10, "routes": ["browse"] }
  },
  "organisations": {
    "perth-high": { "plan": "school", "keyDigests": ["$(digest secret-key-perth)"] },
    "broome-primary": { "plan": "school", "keyDigests": ["$(digest secret-key-broome)"] },
    "over-its-rate": { "plan": "trial", "keyDigests": ["$(digest secret-key-over)"] }
  }
}
JSON
"$bin/shallotctl" check "$work/lists.json"
"$bin/shallotctl" --note "demo" apply "$work/lists.json"
sleep 5 # Daemons claim their parts and the buckets fill.

echo "Sending for $seconds seconds; over-its-rate sends five times its rate of 20 a second."
"$bin/standin-caller" --targets "$targets" --seconds "$seconds" \
    --load "perth-high:secret-key-perth:GET:/profiles:100" \
    --load "perth-high-confirm:secret-key-perth:POST:/confirm:10" \
    --load "broome-primary:secret-key-broome:GET:/browse:100" \
    --load "over-its-rate:secret-key-over:GET:/browse:100" \
    --load "wrong-key:nobody:GET:/browse:5" \
    --load "not-in-its-plan:secret-key-over:GET:/profiles:5" \
    --load "open-to-all::GET:/about:20"

doubles=$(sum_stat doubles 9)
keys=$(sum_stat keys 9)
echo "Confirmations run twice: $doubles. Keys seen by backend servers: $keys."
[ "$doubles" = 0 ] && [ "$keys" = 0 ]
