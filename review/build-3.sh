#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/13 start.
# usage: review/build-3.sh [CASE...]
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-3
# Shares what was compiled in build/ where there is a compiler cache.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
rm -rf "$out/CMakeCache.txt"
cmake -S . -B "$out" -G Ninja >/dev/null
cmake --build "$out" --target lovagegate-soak-parts >/dev/null
libraries="$(pkg-config --libs libwebsockets jsoncpp libcrypto libxxhash)"
cases=("$@")
[ ${#cases[@]} -gt 0 ] || cases=(11 12 13)
for n in "${cases[@]}"; do
    [ -e "review/$n/case.cpp" ] || continue
    # shellcheck disable=SC2086
    g++ -std=c++20 -O1 -Wall -Wextra -I. -Isrc -o "$out/case-$n" \
        "review/$n/case.cpp" review/standin-3/*.cpp \
        "$out/liblovagegate-soak-parts.a" \
        "$out/liblovagegate-standin-parts.a" "$out/liblovagegate_core.a" \
        "$out/libeasyloggingpp.a" $libraries -lz -lhttp_parser -ldocopt \
        -linih -ljsonrpccpp-client -ljsonrpccpp-server -ljsonrpccpp-common \
        -lpthread
done
