#!/bin/sh
# Builds the scripts' programs and stand-ins into review/target/, from the
# review's sources and the modules of the project that they share with it.
set -eu
cd "$(dirname "$0")/.."

out=review/target
libs="glib-2.0 json-glib-1.0 libevent_core libxxhash"
shared="entry/server.c entry/client.c entry/message.c entry/socket.c
src/types.c review/harness/harness.c review/harness/store.c"
mkdir -p "$out"
for source in review/[1-5]/case.c; do
	[ -f "$source" ] || continue
	number=$(basename "$(dirname "$source")")
	# shellcheck disable=SC2046,SC2086
	gcc -std=gnu11 -O1 -g -Wall -Wextra -Wno-unused-parameter -I. \
	    $(pkg-config --cflags $libs) -o "$out/case-$number" "$source" \
	    $shared $(pkg-config --libs $libs) -lhttp_parser -lm
done
