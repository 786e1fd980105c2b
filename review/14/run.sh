#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-3.sh.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/review-3/release/hyssop-review-standins-3
[ -x "$program" ] && [ -x target/release/hyssop-fleet ] || exit 2
set -m
"$program" hidden "$folder" &
group=$!
# Whatever ends this script ends all processes of the scenario, which are in one group.
trap 'kill -KILL -- -$group 2>/dev/null' EXIT
trap 'exit 2' INT TERM
( sleep 115; kill -KILL -- -$group 2>/dev/null ) &
watchdog=$!
wait "$group"
status=$?
kill -KILL -- -$watchdog 2>/dev/null; wait "$watchdog" 2>/dev/null
[ "$status" -le 1 ] && exit "$status"
exit 2
