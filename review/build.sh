#!/usr/bin/env bash
# Builds what the scripts under review/ start besides the front daemon. The stand-ins are plain JavaScript that
# node runs as it is, so that their syntax is all there is to check.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
	node --check "$file"
done
