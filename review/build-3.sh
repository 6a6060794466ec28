#!/bin/sh
# Builds the stand-ins of the third review into target/review-3, after the build of the deploy file. It needs no network.
set -e
cd "$(dirname "$0")/rig-3"
GOWORK=off GOTOOLCHAIN=local GOFLAGS=-mod=mod go build -o ../../target/review-3/rig3 .
