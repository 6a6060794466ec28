#!/bin/sh
# Builds the stand-ins and clients of the review's scripts. It needs no network.
set -e
cd "$(dirname "$0")/rig-2"
GOWORK=off GOFLAGS=-mod=mod go build -buildvcs=false -o ../../target/review-2/rig .
