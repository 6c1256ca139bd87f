#!/usr/bin/env bash
# Runs one case: run_case.sh NAME RECORD. Starts the entries as the deploy file does, on loopback
# addresses, and the stand-ins; ends all of them. TROUBLE=0: without the disruption. Exit code: 1 broken, 0 held, 2 could not run.
set -u
cd "$(dirname "$0")/../.."
standin=review/out/standin
entries=3
workers=16
if [ ! -x "$standin" ] || [ ! -x target/bramleygrade ]; then
    echo "build first: the build line of deploy/system.toml and review/build.sh" >&2
    exit 2
fi
folder=$(mktemp -d)
logs=${ENTRY_LOGS:-$folder}
supervisors=""
driver=""
# shellcheck disable=SC2317
end_all() {
    for pid in $driver $supervisors; do
        kill -TERM "$pid" 2> /dev/null
    done
    for pid in $driver $supervisors; do
        wait "$pid" 2> /dev/null
    done
    rm -rf "$folder"
}
trap end_all EXIT
trap 'exit 2' INT TERM

# Runs entry $1 as the deploy file does, and again one second after each end, as the platform does.
supervise() {
    trap - EXIT INT
    # shellcheck disable=SC2046
    trap 'kill -KILL $(jobs -p) 2> /dev/null; exit' TERM
    while true; do
        target/bramleygrade cell --settings "$folder/entry-$1.conf" >> "$logs/entry-$1.log" 2>&1 &
        echo $! > "$folder/pid-$1"
        wait $!
        rm -f "$folder/pid-$1"
        sleep 1 &
        wait $!
    done
}
mapfile -t ports < <("$standin" ports $((2 + entries * 4 + workers)))
[ "${#ports[@]}" -eq $((2 + entries * 4 + workers)) ] || exit 2
store=${ports[0]}
advice=${ports[1]}
arguments=()
for ((n = 0; n < entries; ++n)); do
    first=$((2 + n * 4))
    arguments+=("${ports[first]}" "${ports[first + 1]}")
    # The fields of platform/settings.json.template, with the bounds of the users' first sheet.
    cat > "$folder/entry-$n.conf" <<SETTINGS
{
    "name": "edge-zone-1-$n",
    "failure_domain": "zone-1",
    "host": "127.0.0.1",
    "caller_address": "127.0.0.1:${ports[first]}",
    "ready_address": "127.0.0.1:${ports[first + 1]}",
    "peer_address": "127.0.0.1:${ports[first + 2]}",
    "metrics_address": "127.0.0.1:${ports[first + 3]}",
    "store_address": "127.0.0.1:$store",
    "advice_address": "127.0.0.1:$advice",
    "processor_share": 0.25,
    "longest_lease_ms": 6000,
    "gang_timeout_ms": 3000,
    "stop_timeout_ms": 900,
    "ended_kept_s": 120,
    "shutdown_grace_s": 6
}
SETTINGS
done
TROUBLE=${TROUBLE:-1} PID_FOLDER=$folder "$standin" "$1" "$2" "$store" "$entries" "${arguments[@]}" \
    "${ports[@]:$((2 + entries * 4))}" &
driver=$!
sleep 0.3
for ((n = 0; n < entries; ++n)); do
    supervise "$n" 2> /dev/null &
    supervisors="$supervisors $!"
done
wait "$driver"
result=$?
driver=""
exit "$result"
