#!/usr/bin/env bash
# The stand-ins are Python programs; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
for file in support/*.py [0-9]*/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
