#!/usr/bin/env bash
# Builds into build/release, or with a sanitizer into build/address or build/thread: build.sh [address|thread]
set -euo pipefail
cd "$(dirname "$0")/.."
sanitizer="${1:-}"
directory="build/${sanitizer:-release}"
cmake -S . -B "$directory" -G Ninja -DSAPPHIRECRANK_SANITIZER="$sanitizer" >"/tmp/sapphirecrank-cmake-$$.log" ||
  { cat "/tmp/sapphirecrank-cmake-$$.log"; exit 1; }
rm -f "/tmp/sapphirecrank-cmake-$$.log"
ninja -C "$directory" --quiet
