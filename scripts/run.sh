#!/usr/bin/env bash
# Runs a compiled program, after updating dependencies and build if they are out of date.
# Usage: run.sh PROGRAM [ARGUMENTS...], with the path of PROGRAM relative to the root of the project
set -euo pipefail
here="$(cd "$(dirname "$0")/.." && pwd)"
bash "$here/scripts/ensure-ready.sh"
program="$1"
shift
exec node "$here/$program" "$@"
