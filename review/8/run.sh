#!/usr/bin/env bash
# Has a core machine lose its disk, kills its process once as it joins again, and later kills two other core machines.
# Build first: the command of the deploy file, and review/build-2.sh. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
	trouble=false # the same without the disruption
fi
exec target/stage-2 -case snapshot -trouble="$trouble" -root . -record review/8/record.txt
