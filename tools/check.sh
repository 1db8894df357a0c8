#!/bin/sh
# Installs the packages, builds, checks the format, lints and runs all tests,
# examples, traces, the benchmark and the soak. The last line of the output is
# "N passed, N failed"; the exit code is non-zero if a check failed.
set -eu
cd "$(dirname "$0")/.."

sh tools/packages.sh
passed=0
failed=0

# Runs a check and counts its result: run_check NAME COMMAND...
run_check()
{
	name=$1
	shift
	if "$@"; then
		passed=$((passed + 1))
		echo "ok $name"
	else
		failed=$((failed + 1))
		echo "FAILED $name"
	fi
}

check_format()
{
	git ls-files '*.c' '*.h' | grep -v '\.pb-c\.' |
	    xargs clang-format --dry-run --Werror
}

# Lints all source files with the compile commands of the build. Each process
# lints one file, since clang-tidy 14 reports false errors on va_list if it is
# given several.
check_lint()
{
	git ls-files '*.c' | grep -v '\.pb-c\.' |
	    xargs -P "${WV_JOBS:-6}" -n 1 clang-tidy -p build --quiet \
	    >build/lint.log 2>/dev/null || {
		grep -E 'error|warning' build/lint.log | sort -u | head -40
		return 1
	}
}

# Lists the tests in a folder, except known failures (KNOWN-RED.txt), which it
# names on standard error.
list_tests()
{
	for test in "$1"/test_*; do
		case $test in
		*.log | *.result) continue ;;
		esac
		name=$(basename "$test")
		if grep -q "^test: $name\$" KNOWN-RED.txt; then
			echo "known failure, not counted: $name" >&2
		else
			echo "$test"
		fi
	done
}

# Runs the tests in a folder in WV_TEST_JOBS parallel jobs (4) and counts their
# results.
run_tests()
{
	rm -f "$1"/test_*.result
	tests=$(list_tests "$1")
	echo "$tests" | xargs -P "${WV_TEST_JOBS:-4}" -n 1 sh tools/run_test.sh
	for test in $tests; do
		run_check "$test" grep -q '^ok ' "$test.result"
	done
}

# Runs a command with a limit of 240 s; shows the end of its output if it fails.
run_quietly()
{
	log=build/$(basename "$1").log
	timeout 240 "$@" >"$log" 2>&1 || {
		tail -30 "$log"
		return 1
	}
}

# Runs the benchmark. A line that fails is a failure unless KNOWN-RED.txt lists
# it. Listed lines that pass are named, so that the list can be kept up to date.
check_bench()
{
	sh tools/bench.sh >build/bench.log 2>&1 || [ $? -eq 1 ] || {
		tail -5 build/bench.log
		return 1
	}
	awk '$NF == "FAIL" { print $1 }' build/bench.log | sort \
	    >build/bench.failed
	sed -n 's/^test: bench \([^ ]*\)$/\1/p' KNOWN-RED.txt | sort \
	    >build/bench.known
	sed 's/^/known failure, not counted: bench /' build/bench.known
	comm -23 build/bench.known build/bench.failed |
	    sed 's/^/passes now, remove from KNOWN-RED.txt: bench /'
	comm -13 build/bench.known build/bench.failed >build/bench.new
	sed 's/^/failed: /' build/bench.new
	[ ! -s build/bench.new ] && grep -q ok build/bench.log
}

run_check build sh tools/build.sh
run_check format check_format
run_check lint check_lint
run_tests build
for example in build/example-*; do
	[ -x "$example" ] || continue
	run_check "$example" run_quietly "$example"
done
if [ -x build/wisteriavane-replay ]; then
	run_check replay run_quietly build/wisteriavane-replay traces/*.json
fi
if [ -x build/wisteriavane-bench ]; then
	run_check bench check_bench
fi
# Real processes under random faults; more seeds are run manually.
run_check soak run_quietly build/wisteriavane-soak --seeds 1-2 --seconds 5
run_check build-address sh tools/build.sh build-address \
    -DWV_SANITIZE=address,undefined
run_tests build-address
run_check build-address/soak run_quietly build/wisteriavane-soak --seeds 3 \
    --seconds 5 --skip-memory-check \
    --program build-address/wisteriavane-entry
# The thread sanitizer checks only code whose threads communicate through the
# mailbox: it does not know the locks of GLib or the grace periods of liburcu,
# which it reports as races.
run_check build-thread sh tools/build.sh build-thread -DWV_SANITIZE=thread
run_check build-thread/test_mailbox run_quietly build-thread/test_mailbox

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
