#!/usr/bin/env bash
# Faults on real processes under load: a daemon is killed and replaced, one is paused and resumes, the log is down, a zone is
# isolated. Checks that no organisation got more than its plan, nothing ran twice, no response was wrong, no key got through.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${SHALLOT_BIN:-build}
port=${SHALLOT_FAULTS_PORT:-22500}
work=$(mktemp -d)
. scripts/fleet.sh
trap 'end_fleet; rm -rf "$work"' EXIT
export SHALLOT_ALLOW_FAULTS=1

rate=60
burst=30
seconds=36
start_log
node=0
for zone in a b c; do
    for i in 0 1 2; do
        start_daemon "$node" "$zone-$i" "zone-$zone"
        start_backend "$node" profiles 16 2 ""
        node=$((node + 1))
    done
done
wait_for_admin
cat >"$work/lists.json" <<JSON
{ "zones": { "zone-a": {}, "zone-b": {}, "zone-c": {} },
  "routes": { "profiles": { "path": "/profiles", "service": "profiles" }, "confirm": { "path": "/confirm", "service": "profiles", "idempotent": false } },
  "plans": { "plan": { "rate": $rate, "burst": $burst, "routes": ["profiles", "confirm"] } },
  "organisations": { "school": { "plan": "plan", "keyDigests": ["$(digest secret-key-school)"] },
                     "orders": { "plan": "plan", "keyDigests": ["$(digest secret-key-orders)"] } } }
JSON
"$bin/shallotctl" apply "$work/lists.json" >/dev/null
sleep 5

block() { curl -s -X POST -d "{\"blocked\":[$2]}" "http://127.0.0.1:$(($(base_port "$1") + 2))/faults" >/dev/null || true; }
peers() { for n in "$@"; do printf ',"127.0.0.1:%s"' $(($(base_port "$n") + 3)); done; }

"$bin/standin-caller" --targets "$targets" --seconds "$seconds" --load "school:secret-key-school:GET:/profiles:300" \
    --load "orders:secret-key-orders:POST:/confirm:20" >"$work/table.txt" &
caller=$!
sleep 2
echo "Killing a daemon of zone a; it is replaced after 3 s."
kill -9 "${daemons[0]}"
sleep 3
start_daemon 0 a-0 zone-a
echo "A daemon of zone b stands still for 8 s."
kill -STOP "${daemons[4]}"
sleep 8
kill -CONT "${daemons[4]}"
sleep 2
# It was revoked meanwhile, so it leaves when it resumes; the platform starts a new one.
kill -0 "${daemons[4]}" 2>/dev/null || start_daemon 4 b-1 zone-b
echo "The log is down for 6 s."
curl -s -X POST -d '{"down":true}' "http://$SHALLOT_LOG/faults" >/dev/null
sleep 6
curl -s -X POST -d '{"down":false}' "http://$SHALLOT_LOG/faults" >/dev/null
echo "Zone c is cut off from the others and the log for 8 s."
for n in 0 1 2 3 4 5; do block "$n" "\"none\"$(peers 6 7 8)"; done
for n in 6 7 8; do block "$n" "\"log\"$(peers 0 1 2 3 4 5)"; done
sleep 8
for n in 0 1 2 3 4 5 6 7 8; do block "$n" ""; done
caller_status=0
wait "$caller" || caller_status=$?
cat "$work/table.txt"
echo "The caller ended with $caller_status."

# The caller counts what was served; the backend servers what ran. Both stay within the plan.
allowed=$((burst + rate * (seconds + 1)))
served=$(awk '$1 == "school" { print $3 }' "$work/table.txt")
wrong=$(awk '$1 == "school" || $1 == "orders" { total += $4 } END { print total }' "$work/table.txt")
doubles=$(sum_stat doubles 9)
keys=$(sum_stat keys 9)
echo "school was served $served of at most $allowed. Wrong answers: $wrong. Orders run twice: $doubles. Keys seen: $keys."
[ "$served" -le "$allowed" ] && [ "$served" -gt $((allowed / 3)) ] && [ "$wrong" = 0 ] && [ "$doubles" = 0 ] && [ "$keys" = 0 ]
