#!/usr/bin/env bash
# Runs the real binary under failures while non-idempotent requests are sent: an entry suspended for
# longer than its lease, an entry killed, a table outage, lost table responses, an unresponsive
# worker, a rack shutting down, an entry drained. Guards against requests that run twice or that are
# reported with a wrong outcome; the check compares the workers' ledgers and does not depend on
# timing.
#
# process_failures.sh BUILD_FOLDER
set -u
cd "$(dirname "$0")/.."
CELL_BIN=$1
PLATFORM_PORT=29000 ENTRY_BASE=27000 WORKER_BASE=29100
. scripts/cell.sh
trap cell_stop EXIT
run_process platform "$CELL_BIN/platform_standin" --port "$PLATFORM_PORT"
sleep 0.5
for rack in 1 2 3 4; do start_rack $rack booking 6 20; done
for entry in 1 2 3 4 5 6 7; do start_entry $entry; done
cat > "$CELL_DIR/booking.json" <<'JSON'
{"service": "booking", "team": "carpathian", "callers": ["salon-a"],
 "allowed_domains": ["domain-a", "domain-b", "domain-c"],
 "quota_cpu_millis": 400000, "quota_memory_mb": 1600000}
JSON
cat > "$CELL_DIR/batch.json" <<'JSON'
{"id": "batch", "service": "booking", "task_count": 12, "cpu_millis": 2000, "memory_mb": 4000,
 "run_time_ms": 25000}
JSON
ask_until_accepted() {
    for _ in $(seq 60); do
        tool 1 "$@" > /dev/null 2>&1 && return 0
        sleep 1
    done
    echo "not accepted within 60 attempts: $*"
    return 1
}
ask_until_accepted apply "$CELL_DIR/booking.json" || exit 1
ask_until_accepted submit "$CELL_DIR/batch.json" || exit 1
entries=$(for e in 1 2 3 4 5 6 7; do printf '%s,' "$(caller_address $e)"; done)
"$CELL_BIN/load" --entries "${entries%,}" --unrepeatable --count 6000 --threads 24 --pause_ms 80 \
    --verdict "$CELL_DIR/verdict.txt" > "$CELL_DIR/load.txt" &
load_pid=$!
platform() { curl -s -o /dev/null "http://127.0.0.1:$PLATFORM_PORT/$1"; }
sleep 2
echo "suspending entry-2"; kill -STOP "$(entry_pid 2)"
sleep 8
echo "resuming entry-2; killing entry-4"; kill -CONT "$(entry_pid 2)"; kill -KILL "$(entry_pid 4)"
platform "unregister?name=entry-4"
sleep 3
echo "starting a table outage; making worker-2-3 unresponsive"; platform "faults?outage=1"
curl -s -o /dev/null "$(rack_control 2 6)/faults?worker=worker-2-3&silent=1"
sleep 6
echo "killing entry-5 during the table outage"; kill -KILL "$(entry_pid 5)"
platform "unregister?name=entry-5"
sleep 4
echo "ending the table outage, losing 20 % of the responses; restarting entry-4"; platform "faults?outage=0&lose_percent=20"
start_entry 4
sleep 3
echo "shutting down rack 3; draining entry-6"
curl -s -o /dev/null "$(rack_control 3 6)/faults?worker=all&leave=1"
tool 6 drain
wait "$load_pid"
load_code=$?
platform "faults?lose_percent=0"
cat "$CELL_DIR/load.txt"
for rack in 1 2 3 4; do curl -s "$(rack_control $rack 6)/ledger"; done > "$CELL_DIR/ledger.txt"
scripts/verdict.sh "$CELL_DIR/verdict.txt" "$CELL_DIR/ledger.txt"
verdict=$?
grep -l "decision thread of this entry did not answer in time" "$CELL_DIR"/entry-6.log && verdict=1
grep -q "event=drained" "$CELL_DIR/entry-6.log" || { echo "entry-6 did not drain"; verdict=1; }
grep -l "invariant broken" "$CELL_DIR"/*.log && verdict=1
[ $load_code -eq 0 ] && [ $verdict -eq 0 ]
