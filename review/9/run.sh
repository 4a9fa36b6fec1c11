#!/bin/sh
# Plays the case and writes what was sent, answered and run to record.txt: 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lacewingd ] && [ -x review/bin/stand2 ] || exit 2
exec review/bin/stand2 lives review/9/record.txt
