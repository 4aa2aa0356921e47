#!/usr/bin/env bash
# Exit code 1 when the rule was broken, 0 when it held, 2 when the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
[ -x target/review-2/frozendirectory ] || exit 2
timeout -k 5 100 target/review-2/frozendirectory "$folder" review/7/record.txt
result=$?
[ $result -le 1 ] || exit 2
exit $result
