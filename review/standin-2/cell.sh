# Sourced by the run.sh of the cases 6 to 10: starts the entries as the deploy file does, on
# loopback addresses, starts each again one second after its end, and ends all of them.
# Expects: case_folder, entries, and program if it is not cell_scenario. Sets: work (temporary
# folder), first_port.
set -u
review=$(cd "$case_folder/.." && pwd)
product=$review/../target/bramleygrade
# DEPLOY.md, Settings of a process: limits.memoryMb=260.
memory_kb=$((260 * 1024))
work=$(mktemp -d)
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
    rm -rf "$work"
}
trap end_all EXIT
trap 'exit 2' INT TERM

write_settings() {
    local n=$1 port=$((first_port + entries + $1 * 4))
    cat > "$work/entry-$n.conf" <<SETTINGS
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
}

# Runs one entry again and again. A process that exceeds its memory is killed, as by the platform.
# Each end without a signal of the case is a line in the file "ends". An entry with a file "gone" is
# not started again.
supervise() {
    local n=$1 why rss
    trap - EXIT INT
    # shellcheck disable=SC2046
    trap 'kill -KILL $(jobs -p) 2> /dev/null; exit' TERM
    while true; do
        "$product" cell --settings "$work/entry-$n.conf" >> "$work/entry-$n.log" 2>&1 &
        local pid=$!
        echo "$pid" > "$work/pid-$n"
        why=exit
        while kill -0 "$pid" 2> /dev/null; do
            rss=$(awk '/VmRSS/ { print $2 }' "/proc/$pid/status" 2> /dev/null)
            if [ "${rss:-0}" -gt "$memory_kb" ]; then
                why=memory
                kill -KILL "$pid"
            fi
            sleep 0.1
        done
        wait "$pid"
        rm -f "$work/pid-$n"
        [ ! -e "$work/gone-$n" ] || return
        echo "$n $why" >> "$work/ends"
        sleep 1
    done
}

start_entries() {
    local n
    for ((n = 0; n < entries; ++n)); do
        supervise "$n" 2> /dev/null &
        supervisors="$supervisors $!"
    done
}

# Chooses a range of ports at random.
choose_ports() {
    first_port=$((10000 + RANDOM % 110 * 200))
    local n
    for ((n = 0; n < entries; ++n)); do
        write_settings "$n"
    done
}

# Runs the scenario with these arguments, on other ports if some are in use, and exits with its
# result.
run_scenario() {
    local result=2 tries
    for tries in 1 2 3; do
        choose_ports
        "$review/standin-2/target/${program:-cell_scenario}" "$work" "$entries" "$first_port" "$@" &
        driver=$!
        sleep 0.3
        kill -0 "$driver" 2> /dev/null && break
        echo "attempt $tries: the ports from $first_port on are in use"
    done
    start_entries
    wait "$driver"
    result=$?
    driver=""
    cp "$work/record.txt" "$case_folder/record.txt"
    grep -E "BROKEN|held|verdict" "$case_folder/record.txt"
    [ "$result" -le 1 ] || result=2
    exit "$result"
}
