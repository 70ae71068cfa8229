#!/usr/bin/env bash
# Regenerates the code under api/ and platform/objectsapi/ and in the *pb packages under peer/.
# Requires protoc; the other generators are built from the versions in go.mod.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/" github.com/ogen-go/ogen/cmd/ogen \
  google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
for api in caller operator backend store; do
  "$bin/ogen" --loglevel error --target "api/$api" --package "$api" --clean "api/$api.yaml"
done
"$bin/ogen" --config platform/ogen.yml --loglevel error --target platform/objectsapi --package objectsapi \
  --clean platform/objects.yaml
PATH="$bin:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
  --go-drpc_out=. --go-drpc_opt=paths=source_relative peer/peerpb/peer.proto peer/relay/relaypb/relay.proto \
  peer/forward/forwardpb/forward.proto
