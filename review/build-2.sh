#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into review/standin-2/target.
set -eu
cd "$(dirname "$0")/.."
cmake -S review/standin-2 -B review/standin-2/target -DCMAKE_BUILD_TYPE=RelWithDebInfo
cmake --build review/standin-2/target -j4
