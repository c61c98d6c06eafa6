#!/usr/bin/env bash
# Searches the models in models/ exhaustively, and checks that a fault seeded into each is found.
# Each search is limited to MEMORY_MB and SECONDS_LIMIT. Two run in parallel, in a temporary
# directory.
set -euo pipefail
cd "$(dirname "$0")/.."
readonly MEMORY_MB=3000
readonly SECONDS_LIMIT=100
readonly DEPTH=100000

models="$PWD/models"
directory="$(mktemp -d)"
trap 'rm -rf "$directory"' EXIT

# run_search NAME OUTPUT [FLAG]: builds and runs the verifier of models/NAME.pml in the directory
# OUTPUT. FLAG is passed to spin.
run_search() {
  local name="$1" output="$2" flag="${3:-}"
  mkdir -p "$directory/$output"
  cd "$directory/$output"
  spin -a ${flag:+"$flag"} "$models/$name.pml" >spin.log 2>&1
  # -w: the code that spin generates causes warnings.
  gcc -w -O2 -DSAFETY -DMEMLIM="$MEMORY_MB" -o pan pan.c
  timeout "$SECONDS_LIMIT" ./pan -m"$DEPTH" >pan.log 2>&1 || echo "exit code $?" >>pan.log
}

report() { echo "model $1: $2"; }

# check_complete NAME: checks that the search visited all states and found no error.
check_complete() {
  local log="$directory/$1/pan.log"
  if grep -q 'errors: 0' "$log" &&
     ! grep -Eq 'Search not completed|max search depth too small|out of memory|exit code' "$log"; then
    report "$1" "no error in $(awk '/states, stored/ {print $1; exit}' "$log") states, $(
      awk '/total actual memory/ {print $1}' "$log") MB, $(
      awk '/elapsed time/ {print $4}' "$log") s"
  else
    report "$1" "FAILED"
    cat "$log"
    return 1
  fi
}

# check_found NAME OUTPUT: checks that an assertion failed because of the seeded fault.
check_found() {
  local log="$directory/$2/pan.log"
  if grep -q 'assertion violated' "$log"; then
    report "$1" "seeded fault $2 found: $(grep -m1 'assertion violated' "$log")"
  else
    report "$1" "seeded fault $2 NOT FOUND"
    cat "$log"
    return 1
  fi
}

(run_search submission submission
 run_search membership late_replacement -DLATE_REPLACEMENT
 run_search membership remove_first -DREMOVE_FIRST
 run_search membership uncommitted_changes -DUNCOMMITTED_CHANGES
 run_search membership promote_first -DPROMOTE_FIRST
 run_search membership uncommitted_to_learners -DUNCOMMITTED_TO_LEARNERS) &
first=$!
(run_search configuration configuration
 run_search configuration no_quorum -DNO_QUORUM
 run_search submission no_fencing -DNO_FENCING
 run_search membership membership) &
second=$!
wait "$first" "$second"

failed=0
check_complete submission || failed=1
check_found submission no_fencing || failed=1
check_complete configuration || failed=1
check_found configuration no_quorum || failed=1
check_complete membership || failed=1
check_found membership late_replacement || failed=1
check_found membership remove_first || failed=1
check_found membership uncommitted_changes || failed=1
check_found membership promote_first || failed=1
check_found membership uncommitted_to_learners || failed=1
exit "$failed"
