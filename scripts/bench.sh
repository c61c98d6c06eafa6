#!/usr/bin/env bash
# Builds and runs a measurement: bench.sh decisions [options] | overhead | load [options] | metrics | capacity | limits | jobs | state [data folder]
# "capacity" also runs the measurements of jobs, limits and state.
set -euo pipefail
cd "$(dirname "$0")/.."

build_target() {
  cmake -S . -B build/release -G Ninja >/dev/null
  ninja -C build/release --quiet "$@"
}

# Starts an entry host at 127.0.0.1:18401 with fake runners and workers, and stops them at exit.
start_host() {
  build_target sapphirecrank bench_fake_target
  work="$(mktemp -d)"
  processes=()
  stop_host() {
    kill "${processes[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
    rm -rf "$work"
  }
  trap stop_host EXIT
  # An entry host refuses a secret file that other users can read.
  (umask 077 && head -c 32 /dev/urandom | base64 >"$work/secret")
  mkdir "$work/data"
  cat >"$work/host.json" <<EOJ
{"host": "bench-0", "data_centre": "ba", "http_listen": "127.0.0.1:18401",
 "peer_listen": "127.0.0.1:18402", "secret_file": "$work/secret", "data_folder": "$work/data", "teams": [{"id": "load"}]}
EOJ
  build/release/src/sapphirecrank run --settings "$work/host.json" 2>"$work/host.log" &
  processes+=($!)
  build/release/bench/bench_fake_target runner 4 8 ba 127.0.0.1:18401 >"$work/runners" &
  processes+=($!)
  build/release/bench/bench_fake_target worker 4 64 ba 127.0.0.1:18401 >"$work/workers" &
  processes+=($!)
  # An entry host starts no tasks on a target in the first 2 s of its ownership.
  sleep 3.5
}

case "${1:-}" in
  decisions)
    shift
    build_target bench_decisions
    exec build/release/bench/bench_decisions "$@"
    ;;
  capacity)
    build_target bench_capacity bench_jobs bench_limits bench_state
    for program in capacity jobs limits state; do
      echo "== bench_$program"
      "build/release/bench/bench_$program"
    done
    ;;
  limits | jobs)
    build_target "bench_$1"
    exec "build/release/bench/bench_$1"
    ;;
  state)
    shift
    build_target bench_state
    exec build/release/bench/bench_state "$@"
    ;;
  overhead)
    build_target bench_overhead
    start_host
    runner="$(sed -n 's/^listening on //p' "$work/runners" | head -n 1)"
    build/release/bench/bench_overhead 127.0.0.1:18401 "$runner" load
    ;;
  load)
    shift
    build_target bench_load
    start_host
    build/release/bench/bench_load "$@" 127.0.0.1:18401
    ;;
  metrics)
    build_target bench_metrics
    exec build/release/bench/bench_metrics
    ;;
  *)
    echo "usage: bench.sh decisions [options] | overhead | load [options] | metrics | capacity | limits | jobs | state [data folder]" >&2
    exit 2
    ;;
esac
