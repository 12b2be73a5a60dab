#!/bin/sh
# Runs the case: exits with 1 if the rule was broken, with 0 if it held, with 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file, and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x review/rig-2/target/rig ] && [ -x target/release/cedarwharf ] || exit 2
exec review/rig-2/target/rig keyed-twice "$here"
