#!/usr/bin/env bash
# Measures, prints one row a figure and writes build/figures.json. Loads stay on loopback and end by themselves.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${SHALLOT_BIN:-build}
port=${SHALLOT_BENCH_PORT:-14000}
rows=$bin/figures.txt
: >"$rows"
work=$(mktemp -d)
. scripts/fleet.sh
trap 'end_fleet; rm -rf "$work"' EXIT
figure() { echo "figure $1 $2 $3 baseline $4" | tee -a "$rows"; }
export SHALLOT_LOG_LEVEL=error

# start_fleet ZONES PER_ZONE: daemons, the first of each zone with a backend server.
start_fleet() {
    local node=0 zone i zones=
    start_log
    for zone in $(seq "$1"); do
        for i in $(seq "$2"); do
            start_daemon "$node" "d$node" "zone-$zone"
            [ "$i" != 1 ] || start_backend "$node" profiles 64 0 ""
            node=$((node + 1))
        done
        zones+="${zones:+,}\"zone-$zone\":{}"
    done
    wait_for_admin
    cat >"$work/lists.json" <<JSON
{ "zones": {$zones},
  "routes": { "profiles": { "path": "/profiles", "service": "profiles" } },
  "plans": { "large": { "rate": 100000, "burst": 100000, "routes": ["profiles"] } },
  "organisations": { "bench": { "plan": "large", "keyDigests": ["$(digest bench-key)"] } } }
JSON
    "$bin/shallotctl" apply "$work/lists.json" >/dev/null
    sleep 15 # Parts are claimed and tables exchanged
}

cpu_ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
resident_kb() { awk '/VmRSS/ { print $2 }' "/proc/$1/status"; }
bytes_sent() { curl -s "http://127.0.0.1:$1/status" | sed -n 's/.*"bytesSent" : \([0-9]*\).*/\1/p'; }

# Control cost of idle daemons in a fleet: the second one of the first zone reads the log, the last one of it does not.
measure_control() {
    local count=${#daemons[@]} seconds=20 nodes=(1 $((${#daemons[@]} / 3 - 1))) roles=(reader follower) cpu=() bytes=()
    for i in 0 1; do
        cpu[i]=$(cpu_ticks "${daemons[${nodes[i]}]}")
        bytes[i]=$(bytes_sent $((port + 102 + nodes[i] * 10)))
    done
    sleep "$seconds"
    for i in 0 1; do
        local pid=${daemons[${nodes[i]}]}
        local cpu2=$(cpu_ticks "$pid") bytes2=$(bytes_sent $((port + 102 + nodes[i] * 10)))
        figure "control_cpu_percent_${roles[i]}_at_$count" "$(awk "BEGIN { print ($cpu2 - ${cpu[i]}) / $seconds / $(getconf CLK_TCK) * 100 }")" percent 0
        figure "control_bytes_per_second_${roles[i]}_at_$count" "$(awk "BEGIN { print ($bytes2 - ${bytes[i]}) / $seconds }")" bytes/s 0
        figure "resident_mb_${roles[i]}_at_$count" "$(awk "BEGIN { print $(resident_kb "$pid") / 1024 }")" MB 0
    done
}

start_fleet 3 3
read -r direct50 direct99 direct_rate < <("$bin/standin-latency" "127.0.0.1:$((port + 104))" /profiles bench-key 8000)
read -r local50 local99 local_rate < <("$bin/standin-latency" "127.0.0.1:$((port + 100))" /profiles bench-key 8000)
read -r remote50 remote99 remote_rate < <("$bin/standin-latency" "127.0.0.1:$((port + 110))" /profiles bench-key 8000)
figure added_latency_p50_ms "$(awk "BEGIN { print $remote50 - $direct50 }")" ms "$direct50"
figure added_latency_p99_ms "$(awk "BEGIN { print $remote99 - $direct99 }")" ms "$direct99"
figure added_latency_own_backend_p99_ms "$(awk "BEGIN { print $local99 - $direct99 }")" ms "$direct99"
figure calls_per_second_one_caller "$remote_rate" calls/s "$direct_rate"
# Configuration: from the response that accepts the edit until the last daemon responds differently.
start=$(date +%s%N)
"$bin/shallotctl" withdraw-key bench bench-key >/dev/null
for node in $(seq 0 8); do
    until [ "$(curl -s -o /dev/null -w '%{http_code}' -H 'Authorization: Bearer bench-key' "http://127.0.0.1:$((port + 100 + node * 10))/profiles")" = 401 ]; do :; done
done
figure key_withdrawal_max_s "$(awk "BEGIN { print ($(date +%s%N) - $start) / 1e9 }")" s 2
measure_control
end_fleet
port=$((port + 1000))
start_fleet 3 9
measure_control
end_fleet

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
