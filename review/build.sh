#!/bin/sh
# Builds the stand-ins that the cases start, into review/bin/.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/stage ./review/stage
