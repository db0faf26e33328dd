# Functions to start a fleet on loopback; sourced by the scripts beside it. Every process that was started is ended by its id.
# Needs: bin, port. Sets: pids, daemons, targets.

pids=()
daemons=()
targets=

end_fleet() {
    for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    pids=()
    daemons=()
    targets=
}

# base_port NODE: its ingress; +1 egress, +2 admin, +3 peer, +4 its backend server.
base_port() { echo $((port + 100 + $1 * 10)); }

start_log() {
    export SHALLOT_SECRET="a secret that all daemons share" SHALLOT_CREDENTIAL="an operator's credential" SHALLOT_LOG="127.0.0.1:$port"
    SHALLOT_OPERATORS="operator:$("$bin/shallotctl" digest "$SHALLOT_CREDENTIAL")"
    SHALLOT_ADMIN="127.0.0.1:$(($(base_port 0) + 2))"
    export SHALLOT_OPERATORS SHALLOT_ADMIN
    "$bin/standin-logd" "$SHALLOT_LOG" >"$work/log.txt" 2>&1 &
    pids+=($!)
}

# start_daemon NODE NAME ZONE
start_daemon() {
    local base
    base=$(base_port "$1")
    "$bin/shallotd" --name "$2" --zone "$3" --ingress "127.0.0.1:$base" --egress "127.0.0.1:$((base + 1))" \
        --admin "127.0.0.1:$((base + 2))" --peer "127.0.0.1:$((base + 3))" >>"$work/$2.txt" 2>&1 &
    daemons[$1]=$!
    pids+=($!)
    targets+="${targets:+,}127.0.0.1:$base"
}

# start_backend NODE SERVICE SLOTS LATENCY_MS NESTED_CALL_PATH
start_backend() {
    local base
    base=$(base_port "$1")
    "$bin/standin-backend" --service "$2" --listen "127.0.0.1:$((base + 4))" --egress "127.0.0.1:$((base + 1))" \
        --slots "$3" --latency-ms "$4" --onward "$5" >"$work/backend-$1.txt" 2>&1 &
    pids+=($!)
}

wait_for_admin() {
    for _ in $(seq 100); do
        "$bin/shallotctl" status >/dev/null 2>&1 && return
        sleep 0.1
    done
    echo "the first daemon did not start" >&2
    return 1
}

digest() { "$bin/shallotctl" digest "$1"; }

# sum_stat NAME NODES: a counter of the stand-in backend servers, added up.
sum_stat() {
    local total=0 node value
    for node in $(seq 0 $(($2 - 1))); do
        value=$(curl -s "http://127.0.0.1:$(($(base_port "$node") + 4))/stats" | sed "s/.*\"$1\":\([0-9]*\).*/\1/")
        total=$((total + value))
    done
    echo "$total"
}
