#!/usr/bin/env bash
# Builds the stand-ins of all cases, into review/bin/.
set -euo pipefail
cd "$(dirname "$0")/rig"
GOWORK=off go build -o ../bin/rig .
