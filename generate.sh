#!/usr/bin/env bash
# Generates gen/ from proto/. Requires protoc, protoc-gen-go, protoc-gen-connect-go and protoc-gen-twirp.
set -euo pipefail
cd "$(dirname "$0")"
PATH="$(go env GOPATH)/bin:$PATH"
common=(-I proto --go_out=gen --go_opt=module=gooseberrypin.example/gen)
protoc "${common[@]}" proto/gooseberry/caller/v1/router.proto proto/gooseberry/fleet/v1/fleet.proto proto/gooseberry/fleet/v1/member.proto proto/gooseberry/fleet/v1/stream.proto
protoc -I proto --connect-go_out=gen --connect-go_opt=module=gooseberrypin.example/gen \
  proto/gooseberry/caller/v1/router.proto proto/gooseberry/fleet/v1/stream.proto
protoc -I proto --twirp_out=gen --twirp_opt=module=gooseberrypin.example/gen proto/gooseberry/fleet/v1/fleet.proto proto/gooseberry/fleet/v1/member.proto
