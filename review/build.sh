#!/usr/bin/env bash
# Builds the stand-ins of the review into review/out/. Needs the packages of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/out
flags="-std=c++17 -O1 -Wall -Wextra -Iinclude -Igenerated -Isrc -Ireview/standin"
objects=""
pids=""
for source in review/standin/*.cpp src/net/busy_meter.cpp src/net/client_connections.cpp \
    src/net/http_client.cpp src/net/http_server.cpp src/net/http_session.cpp \
    src/net/ip_endpoint.cpp; do
    object=review/out/$(basename "$source" .cpp).o
    # shellcheck disable=SC2086
    g++ $flags -c "$source" -o "$object" &
    pids="$pids $!"
    objects="$objects $object"
done
for pid in $pids; do
    wait "$pid"
done
# shellcheck disable=SC2086
g++ $objects -o review/out/standin -pthread
