#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin (not committed).
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/standin ./review/standin
