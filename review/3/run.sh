#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
CASE=3
CASE_RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
CASE_RECORD="review/$CASE/record.txt"
export CASE_RUN CASE_RECORD
[ -n "$CASE_RUN" ] && [ -x target/release/cedarwharf ] && [ -x "review/bin/case-$CASE" ] || {
    echo "cannot run: build the program and review/build.sh first" | tee "$CASE_RECORD" >&2
    exit 2
}
"review/bin/case-$CASE" &
pid=$!
trap 'kill -TERM "$pid" 2>/dev/null' TERM INT HUP
wait "$pid"
code=$?
# A signal ends the first wait; the case then ends its processes and itself.
while kill -0 "$pid" 2>/dev/null; do wait "$pid"; code=$?; done
[ "$code" -le 1 ] || code=2
exit "$code"
