#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/stand3"
GOFLAGS=-mod=mod GOPROXY=off GOWORK=off go build -o ../../target/review-stand3 .
