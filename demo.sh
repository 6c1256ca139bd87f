#!/usr/bin/env bash
# Runs a whole cell on loopback: platform, 50 workers, 7 entries. Sends bookings, submits a seat
# allocation and kills one entry during the bookings. Exit code 0 only if every answer was correct.
set -u
cd "$(dirname "$0")"
scripts/install.sh || exit 1
BUILD=${BUILD:-build}
echo "building the entry, the stand-ins and the load tool in $BUILD"
cmake -S . -B "$BUILD" -G Ninja > /dev/null \
    && cmake --build "$BUILD" --target bramleygrade platform_standin worker_standin load || exit 1
CELL_BIN=$BUILD
. scripts/cell.sh
trap cell_stop EXIT
checks=0
failures=0
expect() { # TEXT COMMAND...
    local text=$1
    shift
    checks=$((checks + 1))
    if "$@"; then echo "ok: $text"; else
        echo "FAILED: $text (logs in $CELL_DIR)"
        failures=$((failures + 1))
    fi
}

echo "starting the platform, 50 workers and 7 entries; logs in $CELL_DIR"
run_process platform "$CELL_BIN/platform_standin" --port "$PLATFORM_PORT"
sleep 0.3
for rack in 1 2 3 4; do start_rack $rack booking 8 20; done
for rack in 5 6 7; do start_rack $rack seats 6 40; done
for entry in 1 2 3 4 5 6 7; do start_entry $entry; done

cat > "$CELL_DIR/booking.json" <<'JSON'
{
    // Salon consortium: short waits; client data stays in its region.
    "service": "booking", "team": "carpathian", "callers": ["salon-a", "salon-b"],
    "allowed_domains": ["domain-a", "domain-b", "domain-c"], "policy": "least_waiting",
    "quota_cpu_millis": 400000, "quota_memory_mb": 1600000
}
JSON
cat > "$CELL_DIR/seats.json" <<'JSON'
{
    // Sittplats Nord: modest instances, packed tightly.
    "service": "seats", "team": "sittplats", "callers": ["gabbai"],
    "allowed_domains": ["domain-b", "domain-c"], "policy": "best_packing",
    "quota_cpu_millis": 400000, "quota_memory_mb": 1600000
}
JSON
cat > "$CELL_DIR/allocation.json" <<'JSON'
{"id": "high-holy-days", "service": "seats", "task_count": 6, "cpu_millis": 4000,
 "memory_mb": 8000, "all_or_nothing": true, "run_time_ms": 4000}
JSON
ask_until_accepted() { # COMMAND...: retries while the entry is still starting
    local try
    for try in $(seq 20); do
        tool 2 "$@" && return 0
        sleep 1
    done
    return 1
}
expect "the booking document is in force" ask_until_accepted apply "$CELL_DIR/booking.json"
expect "the seats document is in force" ask_until_accepted apply "$CELL_DIR/seats.json"
sleep 4

entries=$(for e in 1 2 3 4 5 6 7; do printf '%s,' "$(caller_address $e)"; done)
entries=${entries%,}
expect "a seat allocation of six tasks is accepted" \
    ask_until_accepted submit "$CELL_DIR/allocation.json"
"$CELL_BIN/load" --entries "$entries" --service booking --team salon-a --unrepeatable \
    --count 3000 --threads 24 --pause_ms 20 --verdict "$CELL_DIR/verdict.txt" \
    > "$CELL_DIR/load.txt" &
load_pid=$!
sleep 2
echo "killing entry-4 during the bookings"
kill -KILL "$(entry_pid 4)"
curl -s "http://127.0.0.1:$PLATFORM_PORT/unregister?name=entry-4"
wait "$load_pid"
expect "every answer received was complete" test $? -eq 0
cat "$CELL_DIR/load.txt"
sleep 4
tool 1 job seats/high-holy-days
expect "the seat allocation has finished" \
    sh -c "$CELL_BIN/bramleygrade job seats/high-holy-days --entry $(operator_address 1) \
        --cell_key $CELL_KEY | grep -q 'finished: 0 running, 6 ended'"
for rack in 1 2 3 4; do curl -s "$(rack_control $rack 8)/ledger"; done > "$CELL_DIR/ledger.txt"
for rack in 5 6 7; do curl -s "$(rack_control $rack 6)/ledger"; done >> "$CELL_DIR/ledger.txt"
expect "the ledgers match the answers" scripts/verdict.sh "$CELL_DIR/verdict.txt" \
    "$CELL_DIR/ledger.txt"
echo "where the seat allocation ran:"
grep '^task high-holy-days' "$CELL_DIR/ledger.txt" | awk '{print "    task " $3 " on " $5 ", " $8}'
tool 1 status
echo "seen: seven entries served two services; bookings were answered while entry-4 was killed, and a"
echo "seat allocation of six tasks ran to its end; $((checks - failures)) of $checks checks passed"
if [ "$failures" -eq 0 ]; then echo "demo: all answers were right"; fi
exit "$failures"
