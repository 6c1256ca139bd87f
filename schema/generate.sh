#!/usr/bin/env bash
# Regenerates generated/ from schema/*.fbs. Needs flatc 2.0.8 (flatbuffers-compiler).
set -eu
cd "$(dirname "$0")"
flatc --cpp --gen-object-api --gen-compare --gen-name-strings --scoped-enums --object-suffix _value \
    --cpp-std c++17 --bfbs-gen-embed --bfbs-builtins --filename-suffix _generated -o ../generated \
    document.fbs platform.fbs peer.fbs decision.fbs settings.fbs
rm ../generated/{document,platform,peer}_bfbs_generated.h
