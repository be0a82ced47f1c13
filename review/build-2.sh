#!/bin/sh
# Builds the stand-ins that the scripts of review/4 and later ones start. Run it after the deploy file's build.
set -eu
cd "$(dirname "$0")/standin-2"
go build -o ../../target/review-2/ ./...
