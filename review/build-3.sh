#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 13. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/stand3"
mkdir -p ../../target
GOFLAGS= GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/review-stand3 .
