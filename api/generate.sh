#!/usr/bin/env bash
# Regenerates the Go code of the messages; the build itself needs no generator.
# Needs protoc (Debian protobuf-compiler), protoc-gen-go v1.36.12 and protoc-gen-go-grpc v1.6.2.
set -euo pipefail
cd "$(dirname "$0")"
protoc -I . --go_out=. --go_opt=module=heatherwall.example/api \
  --go-grpc_out=. --go-grpc_opt=module=heatherwall.example/api raft.proto control.proto gossip.proto state.proto
