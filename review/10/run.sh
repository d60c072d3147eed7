#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rig ] || { echo "run review/build-2.sh first"; exit 2; }
exec target/rig leaving review/10/record.txt
