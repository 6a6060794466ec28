#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 plays it without
# the disruption.
cd "$(dirname "$0")" || exit 2
exec timeout -k 2 118 ../bin/rig pause "$(cd ../.. && pwd)" record.txt
