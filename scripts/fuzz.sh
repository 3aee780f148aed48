#!/usr/bin/env bash
# Runs libFuzzer on the frame decoder and the catalogue reader. Usage: fuzz.sh [SECONDS], 60 for each by default.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-60}
CXX=clang++ cmake -S . -B build-fuzz -G Ninja -DCHIVELOCK_FUZZ=ON -DCHIVELOCK_SANITIZE=address,undefined >/dev/null
cmake --build build-fuzz --target fuzz_frames fuzz_catalogue -- --quiet
mkdir -p out/corpus-frames out/corpus-catalogue
cp examples/*/catalogue.json out/corpus-catalogue/ 2>/dev/null || true
build-fuzz/fuzz/fuzz_frames -max_total_time="$seconds" -print_final_stats=1 out/corpus-frames 2>&1 | tail -12
build-fuzz/fuzz/fuzz_catalogue -max_total_time="$seconds" -print_final_stats=1 out/corpus-catalogue 2>&1 | tail -12
echo "fuzz: no finding"
