#!/bin/sh
# usage: tools/bench.sh [--json | --slopes]
# Runs the benchmark. With --slopes it counts instructions instead (slow, needs
# valgrind): per shard request for several numbers of searchers, and per
# heartbeat round for several numbers of members.
set -eu
cd "$(dirname "$0")/.."

bench=build/wisteriavane-bench
[ "${1:-}" = --slopes ] || exec "$bench" "$@"

# Prints the instructions per shard request or heartbeat round that one run
# executes in the library. The entry points of the library switch collection on,
# its callbacks into the driver switch it off.
count_instructions()
{
	valgrind --tool=callgrind --callgrind-out-file=/dev/null \
	    --toggle-collect='wv_executor_submit' \
	    --toggle-collect='wv_executor_reply' \
	    --toggle-collect='wv_executor_cancelled' \
	    --toggle-collect='wv_executor_tick' \
	    --toggle-collect='wv_executor_next_tick' \
	    --toggle-collect='send_request' \
	    --toggle-collect='send_cancel' \
	    --toggle-collect='pass_answer' \
	    --toggle-collect='heartbeat_round' \
	    "$bench" "$@" 2>&1 | awk '
		/Collected :/ { instructions = $NF }
		/^(shard_requests|rounds) / { n = $2 }
		END { if (n > 0) printf "%.1f\n", instructions / n }'
}

# Reads lines "SIZE INSTRUCTIONS"; prints the exponent of growth and the slope
# per unit of size, both fitted by least squares.
print_growth()
{
	awk -v what="$1" '
	{
		n++; x = $1; y = $2; sx += x; sy += y; sxx += x * x
		sxy += x * y; lx += log(x); ly += log(y)
		lxx += log(x) * log(x); lxy += log(x) * log(y)
	}
	END {
		printf "%-44s %10.4f exponent\n", what ".growth",
		    (n * lxy - lx * ly) / (n * lxx - lx * lx)
		printf "%-44s %10.4f instructions\n", what ".slope",
		    (n * sxy - sx * sy) / (n * sxx - sx * sx)
	}'
}

points=build/slopes.txt
: >"$points"
for services in 2 5 10 20 40; do
	value=$(count_instructions --services "$services")
	printf '%-44s %10s instructions\n' \
	    "shard_request.searchers_$((services * 3))" "$value"
	echo "$((services * 3)) $value" >>"$points"
done
print_growth shard_request <"$points"

: >"$points"
for members in 9 18 36 72 144; do
	value=$(count_instructions --members "$members")
	printf '%-44s %10s instructions\n' \
	    "heartbeat_round.members_$members" "$value"
	echo "$members $value" >>"$points"
done
print_growth heartbeat_round <"$points"
