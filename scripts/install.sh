#!/usr/bin/env bash
# Installs the Debian packages that the build, the checks and the tests need.
set -eu
packages="g++ cmake ninja-build pkg-config curl clang-format clang-tidy
    libabsl-dev libflatbuffers-dev flatbuffers-compiler libboost-dev libboost-test-dev
    libcpp-httplib-dev libssl-dev zlib1g-dev libbrotli-dev libjsonrpccpp-dev libjsoncpp-dev
    liblog4cxx-dev libexpected-dev librapidcheck-dev libbenchmark-dev rapidjson-dev"
missing=""
for package in $packages; do
    dpkg-query -W -f='${Status}' "$package" 2> /dev/null | grep -q "install ok installed" \
        || missing="$missing $package"
done
if [ -n "$missing" ]; then
    apt-get update -qq
    # shellcheck disable=SC2086
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing
fi
