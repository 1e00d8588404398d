#!/bin/sh
# Installs the Debian packages that the build and the tests need; does nothing when they are all there.
set -eu
packages="g++ cmake ninja-build make pkg-config ccache clang-format clang-tidy python3 python3-jinja2
  libevent-dev libwebsocketpp-dev nlohmann-json3-dev libgflags-dev liblog4cxx-dev
  libboost-dev libboost-test-dev libboost-filesystem-dev"
missing=""
for package in $packages; do
  state=$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null || true)
  [ "$state" = "install ok installed" ] || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
run=""
[ "$(id -u)" = 0 ] || run="sudo"
$run apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $run apt-get install -y -qq --no-install-recommends $missing
