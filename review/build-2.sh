#!/bin/sh
# Builds what the scripts of the second review start besides thymefront. It needs no network.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review2/play ./review/play
