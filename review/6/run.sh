#!/usr/bin/env bash
# Changes a large manifest 220 times, and then kills all processes of the core at once; a stand-in for the platform kills
# those that exceed the memory of their machine, and starts all again. Build first: the command of the deploy file, and
# review/build-2.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
	trouble=false # the same without the disruption
fi
exec target/stage-2 -case journal -trouble="$trouble" -root . -record review/6/record.txt
