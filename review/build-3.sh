#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for d in review/_rig3/*/main.go; do
	n=$(basename "$(dirname "$d")")
	go build -o "target/review-3/$n" "./review/_rig3/$n"
done
