#!/usr/bin/env bash
# Checks the format of every source file and runs clang-tidy; LINT=format checks the format only.
set -eu
cd "$(dirname "$0")/.."
sources=$(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v '^generated/')
# shellcheck disable=SC2086
clang-format --dry-run -Werror $sources
[ "${LINT:-all}" = format ] && exit 0
BUILD=${BUILD:-build}
cmake -S . -B "$BUILD" -G Ninja > /dev/null
units=$(echo "$sources" | grep '\.cpp$' | grep -v '^src/rpc/')
# src/rpc is left out: clang rejects the dynamic exception specifications of libjsonrpccpp.
echo "$units" | xargs -P "$(nproc)" -n 2 clang-tidy -p "$BUILD" --quiet 2> /dev/null
