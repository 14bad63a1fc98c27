#!/usr/bin/env bash
# Plays the case of this folder; claim.txt says what it shows. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/cyclamendyked ] || [ ! -x review/bin/rig3 ]; then
	echo "build first: the deploy file's build, then review/build-3.sh"
	exit 2
fi
exec review/bin/rig3 idle review/13/record.txt
