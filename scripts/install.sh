#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the models need.
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
packages=(libwebsocketpp-dev libasio-dev prometheus-cpp-dev libmicrohttpd-dev
  libcurl4-openssl-dev libpopt-dev libfmt-dev libexpected-dev cpputest libcpputest-dev
  librapidcheck-dev nlohmann-json3-dev libvalijson-dev libxxhash-dev libssl-dev libboost-dev
  spin ccache ninja-build cmake g++ clang clang-format clang-tidy python3 curl)
if ! dpkg-query -W -f='${Status}\n' "${packages[@]}" 2>/dev/null | grep -vq 'install ok installed' &&
   dpkg-query -W "${packages[@]}" >/dev/null 2>&1; then
  exit 0
fi
apt-get update -q
apt-get install -y -q --no-install-recommends "${packages[@]}"
