#!/usr/bin/env bash
# Checks the stand-ins of the cases 11 to 15. They are Python programs and need no build.
set -euo pipefail
cd "$(dirname "$0")"
for file in support-3/deployment.py 1[1-5]/case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
