#!/bin/sh
# Plays the case and exits with 1 if the rule was broken, 0 if it held, and 2 if it could not run.
# With TROUBLE=0 it leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
test -x review/bin/reviewstandin && test -x target/agatewinch-host || exit 2
exec review/bin/reviewstandin -case budget -record "$here/record.txt" -root "$PWD"
