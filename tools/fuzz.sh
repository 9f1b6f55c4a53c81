#!/usr/bin/env bash
# Long fuzzing: seed after seed until the time is up or a case fails.
# usage: tools/fuzz.sh BUILD [SEED] [SECONDS]
# A failure prints the shrunk case; replay it with
#   LOVAGEGATE_FUZZ_CASE='...' LOVAGEGATE_FUZZ_SEED=N \
#   LOVAGEGATE_FUZZ_HISTORY=history.jsonl BUILD/lovagegate-tests '[.replay]'
set -euo pipefail
build=${1:-build}
seed=${2:-1}
end=$((SECONDS + ${3:-60}))
export LOVAGEGATE_FUZZ_CASES=${LOVAGEGATE_FUZZ_CASES:-100}
runs=0
while ((SECONDS < end)); do
    echo "seed $seed, $LOVAGEGATE_FUZZ_CASES cases"
    RC_PARAMS="seed=$seed" LOVAGEGATE_FUZZ_SEED=$seed \
        timeout 600 "$build/lovagegate-tests" '[fuzz]' ||
        { echo "fuzz: failed with seed $seed"; exit 1; }
    seed=$((seed + 1))
    runs=$((runs + 1))
done
echo "fuzz: $runs runs of $LOVAGEGATE_FUZZ_CASES cases passed"
