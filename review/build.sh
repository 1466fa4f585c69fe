#!/bin/sh
# Builds the stand-ins that the scripts of the cases start; the daemon comes from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/stand ./review/_stand
