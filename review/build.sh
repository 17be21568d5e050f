#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
go build -o ../target/review/ ./cmd/...
