#!/bin/sh
# Plays the case. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/monsoondeal target/review/stage; do
    [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
exec target/review/stage segment-as-order review/4
