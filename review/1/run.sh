#!/usr/bin/env bash
# A route of an index is removed while the daemon that its clients use stands still for 0.7 s.
# TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in target/gooseberrylockd target/review-stand; do
  [ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
export TROUBLE="${TROUBLE:-1}"
exec target/review-stand route-kind review/1
