#!/usr/bin/env bash
# Builds the driver of the scripted cases, with its clients, servers and platform, into target/review/.
# The sources end in .go.txt so that the repository's own checks and tests leave them out.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review/source
rm -f target/review/source/*.go
for f in review/driver/*.go.txt; do
  cp "$f" "target/review/source/$(basename "$f" .txt)"
done
go build -o target/review/driver ./target/review/source
rm -rf target/review/source
