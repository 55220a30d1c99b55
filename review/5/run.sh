#!/usr/bin/env bash
# Starts a small site and plays the case; see claim.txt. With TROUBLE=0, no server turns slow.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/walnutramp ] || [ ! -x review/bin/standin2 ]; then
	echo "can't run: build the program with the deploy file's command, and the stand-ins with review/build-2.sh"
	exit 2
fi
exec review/bin/standin2 slow review/5/record.txt
