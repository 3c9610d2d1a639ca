#!/usr/bin/env bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't be played. TROUBLE=0
# leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/skylarklock ] && [ -x review/bin/rig ] || { echo "build first: deploy/system.toml, review/build-2.sh"; exit 2; }
exec review/bin/rig cut-zones review/8
