#!/usr/bin/env bash
# Installs missing packages, and builds and runs the tests: test.sh [address|thread]
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install.sh
bash scripts/build.sh "${1:-}"
python3 tests/scripts/run_tests_test.py
exec python3 scripts/run_tests.py "build/${1:-release}/test_bin"
