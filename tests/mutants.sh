#!/usr/bin/env bash
# Takes one mechanism out at a time, on a scratch copy, and runs the proof that
# must then fail. A line: name | file | sed expression | command that must fail.
set -u
top=$(cd "$(dirname "$0")/.." && pwd)
scratch=$(mktemp -d)
only=${1:-}
bitten=0 missed=0
trap 'rm -rf "$scratch"' EXIT
while IFS='|' read -r name file expression command; do
	case "$name" in '' | '#'*) continue ;; esac
	[ -z "$only" ] || [ "$only" = "$name" ] || continue
	rm -rf "$scratch/tree" && mkdir "$scratch/tree"
	(cd "$top" && tar cf - --exclude=.git --exclude=build .) |
		tar xf - -C "$scratch/tree"
	[ -d "$scratch/build" ] && cp -rp "$scratch/build" "$scratch/tree/build"
	sed -i "$expression" "$scratch/tree/$file"
	if cmp -s "$top/$file" "$scratch/tree/$file"; then
		echo "missed  $name: nothing was taken out"
		missed=$((missed + 1))
		continue
	fi
	if ! make -s -C "$scratch/tree" -j8 all build/tests/unit build/tests/faults \
		CFLAGS=-Wno-error >"$scratch/log" 2>&1; then
		echo "missed  $name: does not build"; tail -3 "$scratch/log"
		missed=$((missed + 1))
		continue
	fi
	if (cd "$scratch/tree" && eval "$command") >"$scratch/log" 2>&1; then
		echo "missed  $name: passes without it ($command)"
		missed=$((missed + 1))
	else
		reason=$(grep -v '^ok\|again with\|^FAILED' "$scratch/log" | head -1)
		echo "bitten  $name ($command):$reason"
		bitten=$((bitten + 1))
	fi
done <"$top/tests/mutants.txt"
echo "mutants: $bitten bitten, $missed missed"
[ "$missed" = 0 ]
