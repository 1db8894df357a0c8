#!/bin/sh
# usage: tools/run_test.sh TEST
# Runs a test program with a time limit. Its output goes to TEST.log; TEST.result
# receives "ok" or "FAILED" and the name. Prints the end of the output on a
# failure. Always exits with 0, so that several can run in parallel.
set -u

limit=240 # seconds
test=$1
if timeout "$limit" "$test" >"$test.log" 2>&1; then
	echo "ok $test" >"$test.result"
else
	tail -30 "$test.log"
	echo "FAILED $test" >"$test.result"
fi
