#!/usr/bin/env bash
# One decode engine spoils the id of an event in one in twenty of its streams and breaks the stream off there. Exits with 1 if
# a stream that a client gets as complete lacks pieces or has some twice, 0 if none does, 2 if the case could not run.
# TROUBLE=0 plays the same without the spoiled streams.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/caraway-entry ] && [ -x target/review-stand-2 ] || exit 2
exec target/review-stand-2 --daemon target/caraway-entry --record review/7/record.txt ids
