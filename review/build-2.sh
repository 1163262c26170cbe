#!/usr/bin/env bash
# Builds the driver of cases 4 and up, with its clients, replicas and the platform, into target/.
# The sources end in .go.txt so that the repository's own checks and tests leave them out.
set -euo pipefail
cd "$(dirname "$0")/.."
source=target/review-driver-2-source
rm -rf "$source"
mkdir -p "$source"
for f in review/driver-2/*.go.txt; do
  cp "$f" "$source/$(basename "$f" .txt)"
done
go build -o target/review-driver-2 "./$source"
rm -rf "$source"
