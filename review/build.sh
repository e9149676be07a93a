#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are plain modules for Node.js without dependencies, so that they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for module in lib/*.js */scenario.js; do
	node --check "$module"
done
test -f ../target/lacewingpoint-host.mjs
