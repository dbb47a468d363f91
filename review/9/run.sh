#!/usr/bin/env bash
# All servers of a zone go without a word; an instance that has just been started again is cut off from the store for 1.5 s.
# Exits with 1 if that instance, once it is in touch, sends requests to the servers that are gone, 0 if it does not, 2 if the
# case could not run. TROUBLE=0 plays the same without the cut.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/caraway-entry ] && [ -x target/review-stand-2 ] || exit 2
exec target/review-stand-2 --daemon target/caraway-entry --record review/9/record.txt gone
