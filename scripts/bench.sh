#!/usr/bin/env bash
# Builds and runs one measurement program: bench.sh state [options]
set -euo pipefail
cd "$(dirname "$0")/.."

build_target() {
  cmake -S . -B build/release -G Ninja >/dev/null
  ninja -C build/release --quiet "$1"
}

case "${1:-}" in
  state)
    shift
    build_target bench_state
    exec build/release/bench/bench_state "$@"
    ;;
  *)
    echo "usage: bench.sh state [options]" >&2
    exit 2
    ;;
esac
