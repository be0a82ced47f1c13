#!/bin/bash
# Builds the stand-ins of the review's scripts: target/review-standins.
set -eu
cd "$(dirname "$0")"
go build -o ../target/review-standins ./standin
