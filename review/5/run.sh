#!/usr/bin/env bash
# Plays the case of this folder. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# With TROUBLE=0 the disruption is left out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
export TROUBLE=${TROUBLE:-1}
if [ ! -x target/pollenlead ] || [ ! -x target/review-standin ]; then
  echo "build first: the line of deploy/system.toml, and review/build.sh"
  exit 2
fi
exec target/review-standin --scenario pending-jobs --record "$here/record.txt"
