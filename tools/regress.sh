#!/usr/bin/env bash
# Scores the deployments that a change must not make worse, one after the other. It is run by hand.
# Usage: tools/regress.sh FLEETBENCH SYSTEM_DIR WHY
# FLEETBENCH is the path of the users' bench, SYSTEM_DIR the folder that holds the site files.
set -euo pipefail
if [ $# -ne 3 ]; then
  echo "usage: $0 FLEETBENCH SYSTEM_DIR WHY" >&2
  exit 2
fi
bench=$1 sites=$2 why=$3
cd "$(dirname "$0")/.."
jobs=3 # half of the processors of the machine on which the recorded scores were taken
full="sites/haugland-gbl sites/taproom-search"
quick="grown/haugland-gbl-grown grown/taproom-search-grown large/haugland-gbl-large"
failed=0
for site in $full; do
  "$bench" score "$sites/$site.toml" --jobs "$jobs" --why "$why" || failed=1
done
for site in $quick; do
  "$bench" score "$sites/$site.toml" --quick --jobs "$jobs" --why "$why" || failed=1
done
exit "$failed"
