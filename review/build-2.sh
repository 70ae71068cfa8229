#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 9 start, after the build of the deploy file. They use
# the standard library only.
set -euo pipefail
cd "$(dirname "$0")/stand2"
mkdir -p ../../target/review-2
GOFLAGS= GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/review-2/stand2 .
