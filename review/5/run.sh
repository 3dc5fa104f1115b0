#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
test -x target/review/cases || exit 2
exec target/review/cases late-heartbeat review/5/record.txt
