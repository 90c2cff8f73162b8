#!/bin/bash
# Builds the stand-ins that the scripts of the cases start, into review/bin.
set -e
cd "$(dirname "$0")/testdata/rig"
go build -o ../../bin/rig .
