#!/bin/sh
# Builds the stand-ins of the cases into target/review; the gateway itself comes
# from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for scenario in review/*/scenario.cpp; do
    case=$(basename "$(dirname "$scenario")")
    "${CXX:-c++}" -std=c++20 -O1 -pthread -Wall -Wextra -Ireview/standin \
        review/standin/*.cpp "$scenario" -o "target/review/case-$case"
done
