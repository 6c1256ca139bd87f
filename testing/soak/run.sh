#!/usr/bin/env bash
# Runs the soak once: run.sh PRODUCT SOAK SEED SECONDS FOLDER [PROFILE...]. PRODUCT and SOAK are the two
# programs; records and logs go to FOLDER. PROFILE: recut DELAY_MS
# [WORD...]; SOAK without arguments prints the words. Starts the entries as the deploy file does, on
# loopback addresses, and again one second after each end. Exit code: 0 all promises held, 1 broken,
# 2 could not run.
set -u
product=$1
soak=$2
seed=$3
length=$4
folder=$5
shift 5
entries=5
mkdir -p "$folder"
first_port=$((10000 + seed % 140 * 140))
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
    rm -f "$folder"/pid-*
}
trap end_all EXIT
trap 'exit 2' INT TERM

supervise() {
    trap - EXIT INT
    # shellcheck disable=SC2046
    trap 'kill -KILL $(jobs -p) 2> /dev/null; exit' TERM
    while true; do
        "$product" cell --settings "$folder/entry-$1.conf" >> "$folder/entry-$1.log" 2>&1 &
        echo $! > "$folder/pid-$1"
        wait $!
        rm -f "$folder/pid-$1"
        sleep 1 &
        wait $!
    done
}

for ((n = 0; n < entries; ++n)); do
    port=$((first_port + entries + n * 4))
    cat > "$folder/entry-$n.conf" <<SETTINGS
{
    "name": "edge-zone-1-$n",
    "failure_domain": "zone-1",
    "host": "127.0.0.1",
    "caller_address": "127.0.0.1:$port",
    "ready_address": "127.0.0.1:$((port + 1))",
    "peer_address": "127.0.0.1:$((port + 2))",
    "metrics_address": "127.0.0.1:$((port + 3))",
    "store_address": "127.0.0.1:$((first_port + n))",
    "advice_address": "127.0.0.1:9",
    "processor_share": 0.25,
    "longest_lease_ms": 6000,
    "gang_timeout_ms": 3000,
    "stop_timeout_ms": 900,
    "ended_kept_s": 120,
    "shutdown_grace_s": 6
}
SETTINGS
done
"$soak" "$seed" "$length" "$folder/record.txt" "$folder" "$entries" "$first_port" "$@" &
driver=$!
sleep 0.3
for ((n = 0; n < entries; ++n)); do
    supervise "$n" 2> /dev/null &
    supervisors="$supervisors $!"
done
wait "$driver"
result=$?
driver=""
tail -n 1 "$folder/record.txt" | sed "s/^ */seed $seed: /"
exit "$result"
