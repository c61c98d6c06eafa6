#!/usr/bin/env bash
# Builds and runs one measurement program: bench.sh decisions [options]
set -euo pipefail
cd "$(dirname "$0")/.."

build_target() {
  cmake -S . -B build/release -G Ninja >/dev/null
  ninja -C build/release --quiet "$1"
}

case "${1:-}" in
  decisions)
    shift
    build_target bench_decisions
    exec build/release/bench/bench_decisions "$@"
    ;;
  *)
    echo "usage: bench.sh decisions [options]" >&2
    exit 2
    ;;
esac
