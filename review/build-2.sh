#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into review/bin. The
# program itself is built by the deploy file's command.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/standin2 ./review/standin2
