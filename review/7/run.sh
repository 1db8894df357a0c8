#!/bin/sh
# Plays case 7; see claim.txt. Exits with 0 (held), 1 (broken) or 2 (not run).
cd "$(dirname "$0")/../.." || exit 2
[ -x build-review-2/replaced ] || exit 2
exec build-review-2/replaced review/7/record.txt
