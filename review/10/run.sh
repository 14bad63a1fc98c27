#!/usr/bin/env bash
# Plays case wide of the rig; TROUBLE=0 leaves the disruption out. The daemon is built by the deploy file, the rig by build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
rig=$root/review/bin/rig
[ -x "$rig" ] && [ -x "$root/target/cyclamendyked" ] || { echo "not built"; exit 2; }
exec "$rig" -case wide -daemon "$root/target/cyclamendyked" -root "$root" -record "$here/record.txt"
