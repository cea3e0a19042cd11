#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, all in one program, into target/. It needs nothing but the Go toolchain.
set -euo pipefail
cd "$(dirname "$0")/tool-2"
mkdir -p ../../target/review
GOWORK=off GOFLAGS="-buildvcs=false" go build -o ../../target/review/casetool-2 .
