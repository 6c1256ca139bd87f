# Starts and stops a small cell on loopback, for the demo and the process tests. Source this file.
#
# run_process, start_entry, start_rack: start a process; its log and process id are in CELL_DIR.
# cell_stop: kills every process that was started by these functions, by its process id.

CELL_KEY="loopback-cell-key-0001"
CELL_DIR="${CELL_DIR:-$(mktemp -d)}"
CELL_BIN="${CELL_BIN:-build}"
CELL_PIDS=()
PLATFORM_PORT="${PLATFORM_PORT:-19000}"
ENTRY_BASE="${ENTRY_BASE:-17000}"
WORKER_BASE="${WORKER_BASE:-19100}"

run_process() { # NAME COMMAND...
    local name=$1
    shift
    "$@" > "$CELL_DIR/$name.log" 2>&1 &
    LAST_PID=$!
    CELL_PIDS+=("$LAST_PID")
    echo "$LAST_PID" > "$CELL_DIR/$name.pid"
}

start_entry() { # NUMBER
    local number=$1
    local base=$((ENTRY_BASE + number * 10))
    local domain
    domain=domain-$(echo abc | cut -c $(((number - 1) % 3 + 1)))
    cat > "$CELL_DIR/entry-$number.json" <<JSON
{
    // Written by scripts/cell.sh
    "name": "entry-$number", "failure_domain": "$domain", "host": "127.0.0.1",
    "caller_port": $base, "operator_port": $((base + 1)), "peer_port": $((base + 2)),
    "table_host": "127.0.0.1", "table_port": $PLATFORM_PORT,
    "cell_key": "$CELL_KEY", "log_level": "info"
}
JSON
    curl -s -o /dev/null -d "{\"name\": \"entry-$number\", \"host\": \"127.0.0.1\", \
\"failure_domain\": \"$domain\"}" "http://127.0.0.1:$PLATFORM_PORT/register"
    run_process "entry-$number" "$CELL_BIN/bramleygrade" entry --settings "$CELL_DIR/entry-$number.json"
}

start_rack() { # NUMBER SERVICE COUNT ANSWER_MS
    local number=$1 service=$2 count=$3 answer_ms=$4
    local domain
    domain=domain-$(echo abc | cut -c $(((number - 1) % 3 + 1)))
    run_process "rack-$number" "$CELL_BIN/worker_standin" --prefix "worker-$number" \
        --count "$count" --base_port $((WORKER_BASE + number * 20)) \
        --platform_port "$PLATFORM_PORT" --failure_domain "$domain" --rack "$number" \
        --service "$service" --answer_ms "$answer_ms"
}

rack_control() { # NUMBER COUNT
    echo "127.0.0.1:$((WORKER_BASE + $1 * 20 + $2))"
}

entry_pid() { cat "$CELL_DIR/entry-$1.pid"; }
caller_address() { echo "127.0.0.1:$((ENTRY_BASE + $1 * 10))"; }
operator_address() { echo "127.0.0.1:$((ENTRY_BASE + $1 * 10 + 1))"; }
tool() { # ENTRY COMMAND...
    local entry=$1
    shift
    "$CELL_BIN/bramleygrade" "$@" --entry "$(operator_address "$entry")" --cell_key "$CELL_KEY"
}

cell_stop() {
    local pid
    for pid in "${CELL_PIDS[@]}"; do
        kill -CONT "$pid" 2> /dev/null
        kill -KILL "$pid" 2> /dev/null
    done
    wait 2> /dev/null
    CELL_PIDS=()
}
