#!/usr/bin/env bash
# Builds the stand-ins of the third review, into review/bin. The system itself is built with the line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o review/bin/ ./review/sim3
