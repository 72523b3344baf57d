#!/usr/bin/env bash
# Plays case 8. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/pollenlead target/review-2/standin2; do
  if [ ! -x "$program" ]; then
    echo "$program is missing: run the build of deploy/system.toml and review/build-2.sh first"
    exit 2
  fi
done
exec target/review-2/standin2 stale target/pollenlead review/8/record.txt
