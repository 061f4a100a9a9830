#!/usr/bin/env bash
# Plays the case of this folder after the build of the deploy file and review/build-3.sh. Exits with 1 if
# the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sidecar ] && [ -x target/standin-3 ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/standin-3 rewind-owner "review/12/record.txt"
