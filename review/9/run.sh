#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")" || exit 2
lab=../../target/review-lab
[ -x "$lab" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec "$lab" -case miss -root ../.. -record record.txt
