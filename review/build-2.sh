#!/bin/sh
# Builds the stand-ins of the second review; run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin2 ./review/standin2
