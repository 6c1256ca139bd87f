#!/usr/bin/env bash
# Checks that an entry process rejects invalid input with a clear error and serves the next valid
# request.
#
# bad_input.sh BUILD_FOLDER
set -u
cd "$(dirname "$0")/.."
CELL_BIN=$1
# Ports below the ephemeral port range (32768 and up), which outgoing connections may occupy.
PLATFORM_PORT=25000 ENTRY_BASE=23000 WORKER_BASE=25100
. scripts/cell.sh
trap cell_stop EXIT
run_process platform "$CELL_BIN/platform_standin" --port "$PLATFORM_PORT"
sleep 0.5
start_rack 1 booking 4 5
start_entry 1
echo '{"service": "booking", "team": "carpathian", "callers": ["salon-a"],
       "allowed_domains": ["domain-a"]}' > "$CELL_DIR/booking.json"
for _ in $(seq 60); do
    tool 1 apply "$CELL_DIR/booking.json" > /dev/null 2>&1 && break
    sleep 1
done
url=http://$(caller_address 1)/v1/services
failures=0
expect() { # NAME PATTERN COMMAND...: the output of the command must match the pattern
    local name=$1 pattern=$2 output
    shift 2
    output=$("$@" 2>&1)
    if echo "$output" | grep -qE "$pattern"; then echo "ok: $name"; else
        echo "FAILED: $name: expected $pattern in: $(echo "$output" | head -c 300)"
        failures=$((failures + 1))
    fi
}
call() { curl -s -i -m 20 -H "Bramley-Team: salon-a" "$@"; }
served() {
    for _ in $(seq 40); do
        call -d hello "$url/booking/x" | grep -q "served by" && echo served && return
        sleep 0.5
    done
}
expect "valid request" served served
expect "unknown team" "may not call it" curl -s -i -H "Bramley-Team: nobody" -d x "$url/booking/x"
expect "no team" "HTTP/1.1 400" curl -s -i -d x "$url/booking/x"
expect "unknown service" "unknown service" call -d x "$url/nothing/x"
expect "deadline of 0" "Bramley-Deadline-Ms" call -H "Bramley-Deadline-Ms: 0" -d x "$url/booking/x"
expect "deadline that is not a number" "Bramley-Deadline-Ms" call -H "Bramley-Deadline-Ms: soon" -d x "$url/booking/x"
expect "malformed request id" "request-id" call -H "Bramley-Request-Id: seat12" -d x "$url/booking/x"
expect "request id with a future time" "future" call -H "Bramley-Request-Id: 9999999999999-x" -d x "$url/booking/x"
expect "expired request id" "may-have-run" call -H "Bramley-Request-Id: 1000-x" -d x "$url/booking/x"
head -c 1500000 /dev/zero | tr '\0' a > "$CELL_DIR/large"
expect "body over 1 MiB" "1 MiB|413" call --data-binary "@$CELL_DIR/large" "$url/booking/x"
head -c 3000000 /dev/zero | tr '\0' a > "$CELL_DIR/huge"
expect "body over the server's payload limit" "413" call --data-binary "@$CELL_DIR/huge" "$url/booking/x"
flood=()
for number in $(seq 300); do flood+=(-H "X-Flood-$number: $(head -c 200 /dev/zero | tr '\0' b)"); done
expect "300 headers of 200 bytes" "served by|HTTP/1.1 4" call "${flood[@]}" -d x "$url/booking/x"
expect "header of 100000 bytes" "HTTP/1.1 400" call -H "X-Long: $(head -c 100000 /dev/zero | tr '\0' c)" \
    -d x "$url/booking/x"
expect "missing cell key" "403" curl -s -i "http://$(operator_address 1)/v1/dump"
operate() { curl -s -i -H "Bramley-Cell-Key: $CELL_KEY" -d "$1" "http://$(operator_address 1)/v1/operate"; }
expect "malformed operator JSON" "HTTP/1.1 400" operate '{"action": '
expect "unknown operator field" "unknown field" operate '{"acton": "get"}'
expect "apply without a document" "document:" operate '{"action": "apply"}'
expect "document that no worker can satisfy" "no worker of the platform" operate \
    '{"action": "apply", "document": {"service": "x", "team": "t", "allowed_domains": ["moon"]}}'
expect "stale document version" "merge and apply again" operate \
    '{"action": "apply", "expected": 7, "document": {"service": "booking", "team": "t",
      "allowed_domains": ["domain-a"]}}'
expect "peer port without the cell key" "403" curl -s -i -d '{}' "http://127.0.0.1:$((ENTRY_BASE + 12))/peer"
expect "dump with shards and workers" "shards.*workers" tool 1 dump
expect "valid request after all invalid input" served served
expect "entry reports no problem" "no problem" tool 1 status
exit "$failures"
