#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] && [ -x target/cyclamendyked ] || exit 2
exec review/bin/standin cancel review/4/record.txt
