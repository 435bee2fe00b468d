#!/usr/bin/env bash
# Runs the benchmarks. BENCH=control|decisions|entry|fleet|routing|rollout|store|quarantine|answers selects one part.
# The figures are written to build/bench/figures.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
mkdir -p "$build/bench"
"$build/bench/hickory_bench" --part="${BENCH:-}" --out="$build/bench/figures.txt"
