#!/usr/bin/env bash
# Runs formatter, vet, linter, model check and tests. Installs what is missing.
set -euo pipefail
cd "$(dirname "$0")"

step() { printf '== %s\n' "$*"; }

step formatter
unformatted=$(gofmt -l cmd internal platform)
if [ -n "$unformatted" ]; then
	printf 'not formatted:\n%s\n' "$unformatted"
	exit 1
fi

step vet
go vet ./...

step linter
go tool staticcheck ./...

step model check
if ! command -v spin >/dev/null; then
	apt-get update -qq
	apt-get install -y -qq spin
fi
if [ -x spec/check.sh ]; then
	spec/check.sh
fi

step tests
go test -race -timeout 10m ./...
