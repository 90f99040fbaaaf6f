#!/usr/bin/env bash
# Mutation tests: removes one mechanism at a time, on a scratch copy, and runs
# the test that must then fail. A mutant that no test detects is a failure.
# A line of mutants.txt: name ~ file ~ perl expression ~ command that must fail.
# usage: mutants.sh [NAME_PREFIX]
set -u
top=$(cd "$(dirname "$0")/.." && pwd)
scratch=$(mktemp -d)
only=${1:-}
bitten=0 missed=0
trap 'rm -rf "$scratch"' EXIT
mkdir "$scratch/tree"
(cd "$top" && tar cf - --exclude=.git .) | tar xf - -C "$scratch/tree"
build() {
	make -s -C "$scratch/tree" -j8 SANITIZE=-Wno-error all \
		build/tests/unit build/tests/contract build/tests/golden \
		build/tests/faults build/tests/platform/decisions \
		build/tests/platform/script build/tests/platform/soak \
		build/tests/fuzz/rows build/tests/fuzz/frame \
		>"$scratch/log" 2>&1
}
while IFS="~" read -r name file expression command; do
	case "$name" in '' | '#'*) continue ;; esac
	[[ $name = "$only"* ]] || continue
	perl -0pi -e "$expression" "$scratch/tree/$file"
	if cmp -s "$top/$file" "$scratch/tree/$file"; then
		echo "missed  $name: nothing was taken out"
		missed=$((missed + 1))
	elif ! build; then
		echo "missed  $name: does not build"
		grep -m3 error "$scratch/log"
		missed=$((missed + 1))
	elif (cd "$scratch/tree" && eval "$command") >"$scratch/log" 2>&1; then
		echo "missed  $name: passes without it ($command)"
		missed=$((missed + 1))
	else
		reason=$(grep -v 'again with\|passed\|^ *$\|^ok' "$scratch/log" | tail -1)
		echo "bitten  $name ($command): $reason"
		bitten=$((bitten + 1))
	fi
	cp "$top/$file" "$scratch/tree/$file"
done <"$top/tests/mutants.txt"
echo "mutants: $bitten bitten, $missed missed"
[ "$missed" = 0 ]
