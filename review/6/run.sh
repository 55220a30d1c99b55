#!/usr/bin/env bash
# Starts a small site and plays the case; see claim.txt. With TROUBLE=0, the tenant stays, without keys.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/walnutramp ] || [ ! -x review/bin/standin2 ]; then
	echo "can't run: build the program with the deploy file's command, and the stand-ins with review/build-2.sh"
	exit 2
fi
exec review/bin/standin2 lockout review/6/record.txt
