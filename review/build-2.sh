#!/bin/sh
# Builds the program of each script of this review.
set -e
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for case in 6 7 8 9 10; do
    [ -f "review/$case/case.cpp" ] || continue
    ${CXX:-c++} -std=c++20 -O1 -Wall -Wextra -pthread \
        review/standin-2/*.cpp "review/$case/case.cpp" \
        -o "build/review-2/case-$case" &
    pids="$pids $!"
done
for pid in $pids; do
    wait "$pid"
done
