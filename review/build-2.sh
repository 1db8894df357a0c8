#!/bin/sh
# Builds the programs of the second review into build-review-2, after the build
# of the deploy file. Needs the packages of the deploy file only.
set -eu
cd "$(dirname "$0")/.."

out=build-review-2
flags=$(pkg-config --cflags --libs glib-2.0 json-glib-1.0 libevent_core \
	libxxhash libprotobuf-c liburcu-memb)
common="review/stand-2/world.c platform/standin/store.c
platform/standin/searchers.c platform/standin/routes.c
platform/standin/vms.c standin/common/ports.c"

mkdir -p "$out"
for name in born_back; do
	# shellcheck disable=SC2086
	cc -std=gnu11 -O1 -g -Wall -Wextra -Wno-unused-parameter -I. \
		-o "$out/$name" "review/stand-2/$name.c" $common \
		target/libwisteriavane_entry_parts.a target/libwisteriavane.a \
		$flags -lhttp_parser -lm
done
