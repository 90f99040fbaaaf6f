#!/usr/bin/env bash
# Runs all tests of a build and closes with their count.
set -u
export KWB_BUILD=$1
passed=0 failed=0
for name in unit contract golden faults; do
	out=$("$KWB_BUILD/tests/$name") || true
	echo "$out" | grep -v '^ *$'
	counts=$(echo "$out" | grep -oE '[0-9]+ passed, [0-9]+ failed' | tail -1)
	if [ -z "$counts" ]; then
		echo "FAILED $name: gave no count"
		counts='0 passed, 1 failed'
	fi
	passed=$((passed + $(echo "$counts" | cut -d' ' -f1)))
	failed=$((failed + $(echo "$counts" | cut -d' ' -f3)))
done
if [ -s KNOWN-RED.txt ]; then
	echo "known red, passed over:"
	cat KNOWN-RED.txt
fi
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
