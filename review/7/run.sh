#!/bin/sh
# Plays the planned removal of a machine while callers keep flows open. TROUBLE=0: without it.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/target/src/entry/chicoryhead-entry
scenario=$root/build-review-2/scenario-2
if [ ! -x "$program" ] || [ ! -x "$scenario" ]; then
    echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
cd "$root" || exit 2
timeout --kill-after=5 110 "$scenario" machine-removal "$program" "$folder" "$here/record.txt"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
