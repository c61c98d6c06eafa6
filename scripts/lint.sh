#!/usr/bin/env bash
# Checks the formatting and the include rules, and runs clang-tidy with the thread safety analysis
# on all sources.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(find src platform tests bench -name '*.h' -o -name '*.cc' | sort)
clang-format --dry-run --Werror "${files[@]}"
python3 scripts/check_includes.py
cmake -S . -B build/release -G Ninja >/dev/null
find src platform tests bench -name '*.cc' | sort |
  xargs -P 8 -n 1 python3 scripts/tidy.py build/release
