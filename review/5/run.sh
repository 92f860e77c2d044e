#!/usr/bin/env bash
# Plays the case; see claim.txt. Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the trouble out.
set -uo pipefail
cd "$(dirname "$0")"
number=$(basename "$PWD")
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
export REVIEW_FOLDER=$folder REVIEW_RECORD=$PWD/record.txt
export REVIEW_GATEWAY=${REVIEW_GATEWAY:-$PWD/../../target/gooseberrywood}
[ -x "$REVIEW_GATEWAY" ] && [ -x "../bin/case-$number" ] || exit 2
# The case runs in a process group of its own, which is ended with it.
set -m
"../bin/case-$number" &
case_pid=$!
( sleep 115; kill -KILL -- -$case_pid ) >/dev/null 2>&1 &
watch_pid=$!
wait $case_pid
result=$?
exec 2>/dev/null
kill -KILL -- -$case_pid -$watch_pid
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
