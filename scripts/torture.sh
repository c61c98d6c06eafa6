#!/usr/bin/env bash
# Runs random event sequences on the replicated log: torture.sh --sequences N --seed S
# A violation is printed with the seed of its sequence; repeat it with --sequences 1 --seed SEED.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build/release -G Ninja >/dev/null
ninja -C build/release --quiet bench_torture
exec build/release/bench/bench_torture "$@"
