#!/usr/bin/env bash
# Verifies every Promela model exhaustively, then each of its mutations, which must fail.
# A model may contain these comment lines:
#   /* pan-cc: -DSAFETY ... */       flags for compiling the verifier
#   /* pan-run: -m100000 ... */      flags for running it
#   /* mutations: NAME NAME ... */   macros that each remove one safeguard
set -euo pipefail
cd "$(dirname "$0")"

dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

tag() { sed -n "s|^/\* $1: \(.*\) \*/\$|\1|p" "$2"; }

# Prints the verifier's report for model $1 under macro flags $2.
verify() {
	local model=$PWD/$1 cc run
	cc=$(tag pan-cc "$1")
	run=$(tag pan-run "$1")
	(
		cd "$dir"
		rm -f pan*
		# shellcheck disable=SC2086
		spin -a $2 "$model" >spin.out 2>&1 || { cat spin.out; exit 1; }
		# shellcheck disable=SC2086
		gcc -O2 -w $cc -o pan pan.c
		# shellcheck disable=SC2086
		./pan $run
	)
}

fail=0
for model in *.pml; do
	[ -e "$model" ] || continue
	report=$(verify "$model" "")
	if ! grep -q 'errors: 0' <<<"$report" || grep -qi 'max search depth too small\|out of memory' <<<"$report"; then
		printf 'FAIL %s\n%s\n' "$model" "$report"
		fail=1
		continue
	fi
	printf 'ok   %s (%s states)\n' "$model" "$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' <<<"$report")"
	for m in $(tag mutations "$model"); do
		report=$(verify "$model" "-D$m")
		if grep -q 'errors: [1-9]' <<<"$report"; then
			printf 'ok   %s -D%s is caught\n' "$model" "$m"
		else
			printf 'FAIL %s -D%s is not caught\n%s\n' "$model" "$m" "$report"
			fail=1
		fi
	done
done
exit $fail
