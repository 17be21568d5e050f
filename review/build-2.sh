#!/bin/sh
# Builds what the scripts of cases 6 to 10 start: the project's program and the stand-ins, into target/.
set -e
cd "$(dirname "$0")/.."
if [ ! -x target/azurelane ]; then
	go build -ldflags=-linkmode=external -o target/ ./cmd/...
fi
mkdir -p target/review-2
cd review
go build -o ../target/review-2/rig2 ./rig2
