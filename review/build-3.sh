#!/bin/sh
# Builds the stand-ins of cases 11 to 15 into target/review-3; run after the
# build of the deploy file.
set -e
cd "$(dirname "$0")/.."
out=target/review-3
make -s -j4 B=$out $out/tests/platform/soak
objects=$(find $out/src $out/platform $out/tests -name '*.o' \
	! -path "$out/platform/main.o" ! -path "$out/platform/ctl*.o" \
	! -path "$out/tests/platform/soak.o")
for case in review/1[1-5]/case.c; do
	[ -e "$case" ] || continue
	gcc -std=gnu11 -D_GNU_SOURCE -g -O2 -Wall -Wextra -Iinclude -o \
		$out/case-$(basename $(dirname $case)) $case \
		review/stand-3/scene.c $objects \
		-levent_core -levent_extra -lhttp_parser -lnettle -ljansson -lm
done
