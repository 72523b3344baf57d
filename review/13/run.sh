#!/usr/bin/env bash
# Plays this case against target/pollenlead. Exit code: 1 broken, 0 held, 2 could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
exec target/review-3/standin3 --case cancel-lost --program target/pollenlead --record review/13/record.txt
