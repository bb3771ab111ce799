#!/bin/sh
# Builds the stand-ins that the scripts start. It needs the Go toolchain and no network.
set -e
cd "$(dirname "$0")/rig"
go build -o ../bin/rig .
