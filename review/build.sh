#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/stand"
mkdir -p ../../target
GOFLAGS= GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/review-stand .
