#!/bin/bash
# Builds the stand-ins of the second review into target/. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/rig2"
go build -o ../../target/rig2 .
