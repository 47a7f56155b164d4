#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
# The platform limits each process to 4,100 descriptors.
ulimit -n 4100 || exit 2
target/review-2/cases2 descriptors "$dir" review/7/record.txt
