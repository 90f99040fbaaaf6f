#!/usr/bin/env bash
# Runs tests of a sanitizer build; a sanitizer report of any process, daemons
# included, is a failure.
# usage: sanitize.sh BUILD_DIRECTORY
set -u -o pipefail
export KWB_BUILD=$1
export ASAN_OPTIONS=log_path=$PWD/$1/report,detect_leaks=1
export UBSAN_OPTIONS=log_path=$PWD/$1/report,print_stacktrace=1
rm -f "$1"/report.*
code=0
# The scripts mostly wait for timers, so they run in parallel with the others.
scripts=$(mktemp)
# endless_answers.txt checks a limit on memory. The address sanitizer would hold
# back 256 MB of freed memory, so that script runs with a quarantine of 8 MB.
(
	mapfile -t others < <(ls tests/platform/scripts/*.txt | grep -v /endless_answers.txt)
	"$1/tests/platform/script" "${others[@]}" || exit 1
	ASAN_OPTIONS=$ASAN_OPTIONS:quarantine_size_mb=8 \
		"$1/tests/platform/script" tests/platform/scripts/endless_answers.txt
) >"$scripts" 2>&1 &
scripts_pid=$!
"$1/tests/unit" | tail -1 || code=1
"$1/tests/contract" || code=1
"$1/tests/platform/decisions" | tail -1 || code=1
"$1/tests/platform/soak" 1 || code=1
for session in "stop_entry 30" "stop_llm 31" "silent_shop 16" "kill_shop 3"; do
	# shellcheck disable=SC2086
	"$1/tests/faults" $session || code=1
done
wait "$scripts_pid" || code=1
cat "$scripts"
rm -f "$scripts"
if ls "$1"/report.* >/dev/null 2>&1; then
	cat "$1"/report.* | head -60
	code=1
fi
exit $code
