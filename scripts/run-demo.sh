#!/usr/bin/env bash
# The main job: a log service, nine daemons in three availability zones, each with a backend server, operators' lists put
# in by shallotctl, and callers of several organisations. Ends by itself and prints what each organisation got.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${SHALLOT_BIN:-build}
port=${SHALLOT_DEMO_PORT:-21000}
seconds=${SHALLOT_DEMO_SECONDS:-10}
work=$(mktemp -d)
pids=()

finish() {
    local status=$?
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    [ "$status" = 0 ] && rm -rf "$work" || echo "logs are kept in $work" >&2
    return "$status"
}
trap finish EXIT

export SHALLOT_SECRET="a secret that all daemons of the demo share"
export SHALLOT_CREDENTIAL="demo operator"
export SHALLOT_OPERATORS="demo:$(printf %s "$SHALLOT_CREDENTIAL" | sha256sum | cut -d' ' -f1)"
export SHALLOT_LOG="127.0.0.1:$port"
export SHALLOT_DRAIN_GRACE_MS=500

"$bin/standin-logd" "$SHALLOT_LOG" >"$work/log.txt" 2>&1 &
pids+=($!)

# profiles calls status; matcher runs confirmations at most once.
services=(profiles matcher status)
latencies=(3 4 1)
onwards=("/internal/status" "" "")
targets=
node=0
for zone in a b c; do
    for i in 0 1 2; do
        base=$((port + 100 + node * 10))
        "$bin/shallotd" --name "$zone-${services[$i]}" --zone "zone-$zone" \
            --ingress "127.0.0.1:$base" --egress "127.0.0.1:$((base + 1))" --admin "127.0.0.1:$((base + 2))" --peer "127.0.0.1:$((base + 3))" \
            >"$work/$zone-${services[$i]}.txt" 2>&1 &
        pids+=($!)
        "$bin/standin-backend" --service "${services[$i]}" --listen "127.0.0.1:$((base + 4))" --egress "127.0.0.1:$((base + 1))" \
            --slots 16 --latency-ms "${latencies[$i]}" --onward "${onwards[$i]}" >"$work/backend-$zone-$i.txt" 2>&1 &
        pids+=($!)
        targets+="${targets:+,}127.0.0.1:$base"
        node=$((node + 1))
    done
done
export SHALLOT_ADMIN="127.0.0.1:$((port + 102))"

echo "Started one log service, 9 daemons in 3 zones and 9 backend servers."
for _ in $(seq 100); do
    "$bin/shallotctl" status >/dev/null 2>&1 && break
    sleep 0.1
done

digest() { "$bin/shallotctl" digest "$1"; }
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

doubles=0
keys=0
for node in $(seq 0 8); do
    stats=$(curl -s "http://127.0.0.1:$((port + 104 + node * 10))/stats")
    doubles=$((doubles + $(sed 's/.*"doubles":\([0-9]*\).*/\1/' <<<"$stats")))
    keys=$((keys + $(sed 's/.*"keys":\([0-9]*\).*/\1/' <<<"$stats")))
done
echo "Confirmations run twice: $doubles. Keys seen by backend servers: $keys."
[ "$doubles" = 0 ] && [ "$keys" = 0 ]
