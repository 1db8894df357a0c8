#!/bin/sh
# Installs the packages that the build and the tests need, if any is missing.
set -eu

PACKAGES="libapr1-dev libaprutil1-dev libmicrohttpd-dev libglib2.0-dev
libjson-glib-dev liburcu-dev libprotobuf-c-dev protobuf-c-compiler
libxxhash-dev libcurl4-gnutls-dev libevent-dev
libhttp-parser-dev cmake ninja-build gcc clang-format
clang-tidy valgrind pkg-config"

missing=""
for package in $PACKAGES; do
	state=$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null || true)
	[ "$state" = "install ok installed" ] || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
# shellcheck disable=SC2086
apt-get install -y -qq $missing >/dev/null
