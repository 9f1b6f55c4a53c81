#!/usr/bin/env bash
# Checks formatting and runs the linter; argument: the build folder.
set -euo pipefail
build=${1:-build}
cd "$(dirname "$0")/.."
mapfile -t all < <(git ls-files -co --exclude-standard '*.cpp' '*.hpp')
clang-format --dry-run --Werror "${all[@]}"
# Only our own sources: libraries compiled here are not ours to lint, and the
# C++14 source takes headers that the linter reads as C++20.
mapfile -t sources < <(git ls-files -co --exclude-standard \
    'src/*.cpp' 'standins/*.cpp' 'measure/*.cpp' 'bench/*.cpp' 'soak/*.cpp' \
    | grep -v '_cpp14\.cpp$')
run-clang-tidy -quiet -p "$build" "${sources[@]/#/$PWD/}" \
    >"$build/lint.log" 2>&1 || {
    grep -E 'warning:|error:' "$build/lint.log" | sort -u | head -60
    exit 1
}
echo "format and lint: ${#all[@]} files clean"
