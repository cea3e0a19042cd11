#!/bin/sh
# Builds the stand-ins of the cases of the third review. They use the standard library only, so no network is needed.
set -e
cd "$(dirname "$0")/tool-3"
GOWORK=off GOFLAGS= go build -o ../../target/review-3 .
