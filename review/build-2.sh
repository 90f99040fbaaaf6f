#!/bin/sh
# Builds the scripts' stand-ins of the second review into build-review-2/.
set -e
cd "$(dirname "$0")/.."
B=build-review-2
STAGE="stage port store server proxy duty"
OBJECTS=""
for part in $STAGE; do
	OBJECTS="$OBJECTS $B/tests/platform/$part.o"
done
make -s -j4 B=$B node $OBJECTS
NODE=$(find $B/src $B/platform -name '*.o' ! -path '*/platform/main.o' \
	! -path '*/platform/ctl*.o' ! -path '*/src/trace/*' \
	! -name config_check.o ! -name config_compare.o)
for case in review/[0-9]*/case.c; do
	number=$(basename "$(dirname "$case")")
	if ! grep -q stand-2 "$case"; then
		continue
	fi
	gcc -std=gnu11 -D_GNU_SOURCE -g -O2 -Wall -Wextra -Iinclude -pthread \
		-o $B/case-$number "$case" review/stand-2/world.c $OBJECTS $NODE \
		-levent_core -levent_extra -lhttp_parser -lnettle -ljansson -lm
done
