#!/bin/bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: without the disruption.
# Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/review_cases ] || exit 2
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout -k 1 118.5 target/review-2/review_cases 8 review/8 $command
status=$?
[ $status -le 1 ] && exit $status
exit 2
