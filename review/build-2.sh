#!/bin/bash
# Builds what the scripts in review/6, 7, 9 and 10 start, besides the programs of the deploy file.
cd "$(dirname "$0")/.." && mkdir -p target && go build -o target/ ./review/rig-2
