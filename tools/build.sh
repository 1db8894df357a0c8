#!/bin/sh
# usage: tools/build.sh [DIR [CMAKE-OPTION...]]
# Configures and builds the project in DIR (build) with WV_JOBS parallel jobs
# (6). Prints the first errors if the build fails.
set -eu
cd "$(dirname "$0")/.."

dir=${1:-build}
[ $# -eq 0 ] || shift
cmake -S . -B "$dir" -G Ninja "$@" >/dev/null
cmake --build "$dir" -j "${WV_JOBS:-6}" >"$dir/build.log" 2>&1 || {
	grep -E 'error|warning|FAILED' -A 6 "$dir/build.log" | head -80
	exit 1
}
