#!/usr/bin/env bash
# Measures, prints one row a figure and writes build/figures.json. Loads stay on loopback and end by themselves.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${SHALLOT_BIN:-build}
port=${SHALLOT_BENCH_PORT:-24000}
rows=$bin/figures.txt
: >"$rows"
pids=()
finish() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    pids=()
}
trap finish EXIT
figure() { echo "figure $1 $2 $3 baseline $4" | tee -a "$rows"; }

export SHALLOT_SECRET="a secret that all daemons share" SHALLOT_CREDENTIAL="bench"
export SHALLOT_OPERATORS="bench:$("$bin/shallotctl" digest bench)" SHALLOT_LOG="127.0.0.1:$port" SHALLOT_LOG_LEVEL=error

# start_fleet ZONES PER_ZONE: daemons, the first of each zone with a backend server.
start_fleet() {
    "$bin/standin-logd" "$SHALLOT_LOG" >/dev/null 2>&1 &
    pids+=($!)
    daemons=()
    local node=0
    for zone in $(seq "$1"); do
        for i in $(seq "$2"); do
            local base=$((port + 100 + node * 10))
            "$bin/shallotd" --name "d$node" --zone "zone-$zone" --ingress "127.0.0.1:$base" --egress "127.0.0.1:$((base + 1))" \
                --admin "127.0.0.1:$((base + 2))" --peer "127.0.0.1:$((base + 3))" >/dev/null 2>&1 &
            pids+=($!)
            daemons+=($!)
            if [ "$i" = 1 ]; then
                "$bin/standin-backend" --service profiles --listen "127.0.0.1:$((base + 4))" --egress "127.0.0.1:$((base + 1))" \
                    --slots 64 --latency-ms 0 >/dev/null 2>&1 &
                pids+=($!)
            fi
            node=$((node + 1))
        done
    done
    export SHALLOT_ADMIN="127.0.0.1:$((port + 102))"
    for _ in $(seq 100); do "$bin/shallotctl" status >/dev/null 2>&1 && break; sleep 0.1; done
    local zones=
    for zone in $(seq "$1"); do zones+="${zones:+,}\"zone-$zone\":{}"; done
    cat >"$bin/bench-lists.json" <<JSON
{ "zones": {$zones},
  "routes": { "profiles": { "path": "/profiles", "service": "profiles" } },
  "plans": { "large": { "rate": 100000, "burst": 100000, "routes": ["profiles"] } },
  "organisations": { "bench": { "plan": "large", "keyDigests": ["$("$bin/shallotctl" digest bench-key)"] } } }
JSON
    "$bin/shallotctl" apply "$bin/bench-lists.json" >/dev/null
    sleep 8
}

cpu_ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
resident_kb() { awk '/VmRSS/ { print $2 }' "/proc/$1/status"; }
bytes_sent() { curl -s "http://127.0.0.1:$1/status" | sed -n 's/.*"bytesSent" : \([0-9]*\).*/\1/p'; }

# Control cost of an idle daemon in a fleet of a given size.
measure_control() {
    local node=1 count=${#daemons[@]} admin=$((port + 112)) seconds=20
    local cpu=$(cpu_ticks "${daemons[$node]}") bytes=$(bytes_sent "$admin")
    sleep "$seconds"
    local cpu2=$(cpu_ticks "${daemons[$node]}") bytes2=$(bytes_sent "$admin")
    figure "control_cpu_percent_at_$count" "$(awk "BEGIN { print ($cpu2 - $cpu) / $seconds / $(getconf CLK_TCK) * 100 }")" percent 0
    figure "control_bytes_per_second_at_$count" "$(awk "BEGIN { print ($bytes2 - $bytes) / $seconds }")" bytes/s 0
    figure "resident_mb_at_$count" "$(awk "BEGIN { print $(resident_kb "${daemons[$node]}") / 1024 }")" MB 0
}

start_fleet 3 3
read -r direct50 direct99 direct_rate < <("$bin/standin-latency" "127.0.0.1:$((port + 104))" /profiles bench-key 8000)
read -r local50 local99 local_rate < <("$bin/standin-latency" "127.0.0.1:$((port + 100))" /profiles bench-key 8000)
read -r remote50 remote99 remote_rate < <("$bin/standin-latency" "127.0.0.1:$((port + 110))" /profiles bench-key 8000)
figure added_latency_p50_ms "$(awk "BEGIN { print $remote50 - $direct50 }")" ms "$direct50"
figure added_latency_p99_ms "$(awk "BEGIN { print $remote99 - $direct99 }")" ms "$direct99"
figure added_latency_own_backend_p99_ms "$(awk "BEGIN { print $local99 - $direct99 }")" ms "$direct99"
figure calls_per_second_one_caller "$remote_rate" calls/s "$direct_rate"
# Configuration: from the accepted answer until the last daemon answers otherwise.
start=$(date +%s%N)
"$bin/shallotctl" withdraw-key bench bench-key >/dev/null
for node in $(seq 0 8); do
    until [ "$(curl -s -o /dev/null -w '%{http_code}' -H 'Authorization: Bearer bench-key' "http://127.0.0.1:$((port + 100 + node * 10))/profiles")" = 401 ]; do :; done
done
figure key_withdrawal_max_s "$(awk "BEGIN { print ($(date +%s%N) - $start) / 1e9 }")" s 2
measure_control
finish
sleep 1
port=$((port + 1000)) SHALLOT_LOG="127.0.0.1:$port"
export SHALLOT_LOG
start_fleet 3 9
measure_control
finish

mkdir -p "$bin/plots"
"$bin/shallot-limits-experiment" | tee -a "$rows"
"$bin/shallot-experiment" "$bin/plots" | tee -a "$rows"
"$bin/shallot-decision-cost" --benchmark_min_time=0.1 2>/dev/null | awk '/^[a-zA-Z]+(\/[0-9]+)?  / { gsub("/", "_at_", $1); print "figure cost_" $1, $2, "ns baseline 0" }' | tee -a "$rows"
for name in quokka carrington; do
    gnuplot -e "set terminal svg size 900,360; set output '$bin/plots/$name.svg'; set title '$name: requests delivered a second, surge from 5 s to 15 s'; \
        set xlabel 'seconds'; set yrange [0:*]; plot '$bin/plots/$name.dat' using 1:2 with lines title 'shallottrack', '' using 1:3 with lines title 'no control'"
done
awk 'BEGIN { print "[" } { printf "%s  {\"name\": \"%s\", \"value\": %s, \"unit\": \"%s\", \"baseline\": %s}", (NR > 1 ? ",\n" : ""), $2, $3, $4, $6 } END { print "\n]" }' \
    "$rows" >"$bin/figures.json"
