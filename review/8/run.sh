#!/bin/sh
# Case 8: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs it without the silence of the watches.
folder="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$folder/../.." && pwd)"
exec "$root/review/standin-2/target/release/review-standin-2" silence "$root" "$folder"
