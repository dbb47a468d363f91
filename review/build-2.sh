#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-stand-2 ./review/stand-2
go build -ldflags=-linkmode=external -o target/review-stand ./review/stand # that of the first review; case 10 plays its script
