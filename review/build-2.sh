#!/bin/sh
# Builds the programs of the second review into build-review-2, after the build
# of the deploy file. Needs the packages of the deploy file only.
set -eu
cd "$(dirname "$0")/.."

out=build-review-2
libs="glib-2.0 json-glib-1.0 libevent_core libxxhash libprotobuf-c
liburcu-memb"
common="review/stand-2/world.c platform/standin/searchers.c platform/standin/routes.c
platform/standin/vms.c standin/common/ports.c"

mkdir -p "$out"
for source in review/stand-2/*.c; do
	name=$(basename "$source" .c)
	[ "$name" != world ] || continue
	serialize=
	[ "$name" != cut_entry ] ||
		serialize=-Dwv_json_serialize_object=review_serialize_object
	# shellcheck disable=SC2086
	cc -std=gnu11 -O1 -g -Wall -Wextra -Wno-unused-parameter -I. \
		$(pkg-config --cflags $libs) $serialize -c \
		-o "$out/$name-store.o" platform/standin/store.c
	# shellcheck disable=SC2086
	cc -std=gnu11 -O1 -g -Wall -Wextra -Wno-unused-parameter -I. \
		$(pkg-config --cflags $libs) -o "$out/$name" \
		"$source" "$out/$name-store.o" $common \
		target/libwisteriavane_entry_parts.a target/libwisteriavane.a \
		$(pkg-config --libs $libs) -lhttp_parser -lm
done
