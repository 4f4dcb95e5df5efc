#!/usr/bin/env bash
# Runs a built program after making sure that dependencies and build are current.
set -euo pipefail
here="$(cd "$(dirname "$0")/.." && pwd)"
bash "$here/scripts/ensure-ready.sh"
program="$1"
shift
exec node "$here/$program" "$@"
