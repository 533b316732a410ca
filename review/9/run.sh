#!/usr/bin/env bash
# Has a zone evacuated, taken back and evacuated again while the control machine that leads is frozen for 3.5 s, up to nine
# times. Build first: the command of the deploy file, and review/build-2.sh. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
	trouble=false # the same without the disruption
fi
exec target/stage-2 -case evacuation -trouble="$trouble" -root . -record review/9/record.txt
