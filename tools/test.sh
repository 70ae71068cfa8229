#!/usr/bin/env bash
# Runs all checks of the project: gofmt, go vet, staticcheck, the build and all tests. Then runs the
# short tests of core, entry, platform, peer/relay and internal/ingress under the race detector, and replays the
# recorded traces.
set -euo pipefail
cd "$(dirname "$0")/.."
export CGO_ENABLED=1
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
  printf 'gofmt: these files are not formatted:\n%s\n' "$unformatted"
  exit 1
fi
go vet ./...
go tool staticcheck ./...
go build ./...
# Skip and print exactly the tests that KNOWN-RED.txt lists as failing because of a known fault.
skip=$(sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd '|' -)
flags=(-count=1)
if [ -n "$skip" ]; then
  printf 'known to fail, not run:\n'
  cat KNOWN-RED.txt
  flags+=(-skip "$skip")
fi
# The tests with hostile callers measure the memory of a process and run apart from all others.
mapfile -t packages < <(go list ./... | grep -v '/e2e/hostile$')
go test "${flags[@]}" "${packages[@]}"
go test "${flags[@]}" ./e2e/hostile
go test -count=1 -short -race ./core/... ./entry/... ./platform/... ./peer/relay/... ./internal/ingress
go run ./cmd/gooseberrylock replay testdata/traces
