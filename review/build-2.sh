#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The project's programs come from the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o review/bin/rig ./review/rig
