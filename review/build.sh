#!/usr/bin/env bash
# Builds the stand-ins of the cases, all in one program, into target/. It needs nothing but the Go toolchain.
set -euo pipefail
cd "$(dirname "$0")/tool"
GOWORK=off GOFLAGS="-buildvcs=false" go build -o ../../target/review/casetool .
