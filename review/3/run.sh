#!/usr/bin/env bash
# Plays the case "rename" on loopback. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/skylarklock ] || [ ! -x review/bin/standin ]; then
	echo "build first: the build of deploy/system.toml, then review/build.sh"
	exit 2
fi
# The stand-in ends the processes that it started; they also end with it.
exec timeout -k 5 115 review/bin/standin -case rename -program target/skylarklock -record review/3/record.txt
