#!/usr/bin/env bash
# Runs the case; exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 there is no disruption. Needs the build of the deploy file and review/build-3.sh.
set -u
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/chicoryhead-review-3
[ -x "$program" ] || exit 2
folder=$(mktemp -d) || exit 2
"$program" silent-connections "$PWD" "$folder" review/13/record.txt &
child=$!
# The instances end with the program that started them.
trap 'kill -KILL "$child" 2>/dev/null; wait "$child" 2>/dev/null; rm -rf "$folder"' EXIT
trap 'exit 2' INT TERM
wait "$child"
