#!/usr/bin/env bash
# Two builds in one fleet: run-mixed.sh OLD NEW [SOAK_SEED...], both build folders. Each start of a daemon or of shallotctl takes the
# other build in turn, so daemons of both serve one fleet, replace each other after kills and read what the other one wrote. Runs
# the demonstration, the faults and the soak that way, each with the stand-ins of either build, then compares what both make of
# the same settings and logs. Prints each verdict and exits 0 if all held.
set -euo pipefail
cd "$(dirname "$0")/.."
[ $# -ge 2 ] || { echo "usage: run-mixed.sh OLD NEW [SOAK_SEED...]" >&2; exit 2; }
old=$(realpath "$1")
new=$(realpath "$2")
shift 2
work=$(mktemp -d)
status=0

verdict() { if [ "$1" = 0 ]; then echo "held: $2"; else echo "FAILED: $2"; status=1; fi; }

# alternate FOLDER PROGRAM: a program that is the old build's and the new build's in turn, whoever starts it.
alternate() {
    cat >"$1/$2" <<SCRIPT
#!/usr/bin/env bash
exec 9>>"$1/$2.starts"
flock 9
builds=("$old" "$new")
build=\${builds[\$((\$(wc -l <"$1/$2.starts") % 2))]}
echo "\$build" >&9
exec 9>&-
exec "\$build/$2" "\$@"
SCRIPT
    chmod +x "$1/$2"
}

# starts FOLDER PROGRAM: how often each build was started.
starts() { echo "$2: $(grep -cx "$old" "$1/$2.starts") starts of the old build, $(grep -cx "$new" "$1/$2.starts") of the new one"; }

for standins in "$old" "$new"; do
    name=$([ "$standins" = "$old" ] && echo old || echo new)
    bin=$work/with-$name-standins
    mkdir "$bin"
    for program in logd backend caller; do ln -s "$standins/standin-$program" "$bin/"; done
    for program in shallotd shallotctl shallot-sidecar; do alternate "$bin" "$program"; done
    for job in demo faults; do
        result=0
        SHALLOT_BIN=$bin "scripts/run-$job.sh" >"$work/$job-$name.txt" 2>&1 || result=$?
        tail -n 12 "$work/$job-$name.txt"
        verdict "$result" "run-$job, daemons of both builds, stand-ins of the $name build"
    done
    for seed in "${@:-1}"; do
        mkdir -p "$work/soak-$name-$seed"
        result=0
        SHALLOT_SOAK_SAFETY_ONLY=1 SHALLOT_SOAK_KEEP=$work/soak-$name-$seed \
            "$standins/shallot-soak" "$bin/shallot-sidecar" "$seed" 12 || result=$?
        verdict "$result" "soak of seed $seed, daemons of both builds, harness of the $name build"
    done
    for program in shallotd shallotctl shallot-sidecar; do starts "$bin" "$program"; done
done

# Settings: both builds make the same of each file that the soaks wrote, and of the flags' defaults.
export SHALLOT_PEER_SECRET="a secret that all daemons share"
result=0
count=0
for settings in "$work"/soak-*/settings-*; do
    [ -e "$settings" ] || continue
    count=$((count + 1))
    SHALLOTTRACK_CONFIG=$settings "$old/shallot-sidecar" --check >"$work/old.txt" 2>&1 || echo "exit $?" >>"$work/old.txt"
    SHALLOTTRACK_CONFIG=$settings "$new/shallot-sidecar" --check >"$work/new.txt" 2>&1 || echo "exit $?" >>"$work/new.txt"
    cmp -s "$work/old.txt" "$work/new.txt" || { diff "$work/old.txt" "$work/new.txt" || true; result=1; }
done
[ "$count" -gt 0 ] || result=1
verdict "$result" "$count settings files checked by both builds, same result"
result=0
"$old/shallotd" --check --name a --zone z --secret "$SHALLOT_PEER_SECRET" >"$work/old.txt" 2>&1 || result=1
"$new/shallotd" --check --name a --zone z --secret "$SHALLOT_PEER_SECRET" >"$work/new.txt" 2>&1 || result=1
cmp "$work/old.txt" "$work/new.txt" || result=1
verdict "$result" "flags of shallotd checked by both builds, same result"

# Logs: both builds tell the same story of a request from the logs of daemons of both.
result=0
count=0
for folder in "$work"/soak-*/; do
    for id in $(cat "$folder"log-* 2>/dev/null | grep -o '"event":"request".*"request":"[^"]*"' | sed 's/.*"request":"\([^"]*\)".*/\1/' | head -n 200 | tail -n 5); do
        count=$((count + 1))
        cat "$folder"log-* | "$old/shallotctl" explain "$id" >"$work/old.txt" 2>&1 || result=1
        cat "$folder"log-* | "$new/shallotctl" explain "$id" >"$work/new.txt" 2>&1 || result=1
        cmp -s "$work/old.txt" "$work/new.txt" || result=1
    done
done
[ "$count" -gt 0 ] || result=1
verdict "$result" "$count requests explained by both builds from logs of both, same story"
rm -rf "$work"
exit "$status"
