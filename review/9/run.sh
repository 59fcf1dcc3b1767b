#!/bin/bash
# Plays the case of claim.txt; TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/lovagelink ] || [ ! -x target/rig-2 ]; then
	echo "build first: the build of deploy/system.toml, then review/build-2.sh"
	exit 2
fi
exec target/rig-2 -case wiped -record review/9/record.txt
