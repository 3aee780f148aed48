#!/usr/bin/env bash
# Runs libFuzzer on all that reads bytes from other processes. Usage: fuzz.sh [SECONDS], 60 for each target by default.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-60}
targets=(frames catalogue responses fleet_frames delegation_frames)
CXX=clang++ cmake -S . -B build-fuzz -G Ninja -DCHIVELOCK_FUZZ=ON -DCHIVELOCK_SANITIZE=address,undefined >/dev/null
cmake --build build-fuzz --target "${targets[@]/#/fuzz_}" -- --quiet
for target in "${targets[@]}"; do
    mkdir -p "out/corpus-$target"
done
cp examples/*/catalogue.json out/corpus-catalogue/ 2>/dev/null || true
for target in "${targets[@]}"; do
    corpora=("out/corpus-$target")
    if [ -d "fuzz/corpus/$target" ]; then
        corpora+=("fuzz/corpus/$target")
    fi
    echo "fuzz_$target"
    "build-fuzz/fuzz/fuzz_$target" -max_total_time="$seconds" -print_final_stats=1 "${corpora[@]}" 2>&1 | tail -12
done
echo "fuzz: no finding"
