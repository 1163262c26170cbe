#!/usr/bin/env bash
# Builds the stand-ins of the cases from 4 on. Needs the build of the deploy file before it for the cases themselves.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-driver-2 ./review/_driver2
