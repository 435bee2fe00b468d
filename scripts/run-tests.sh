#!/usr/bin/env bash
# Runs all tests. Tests listed in KNOWN-RED.txt (one per line: test, cause, issue) are run separately
# and printed, and do not affect the exit code.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
red=$(grep -v '^#' KNOWN-RED.txt 2>/dev/null | awk 'NF { print $1 }' | paste -sd'|' -)
exclude=()
[ -n "$red" ] && exclude=(-E "^($red)\$")
ctest --test-dir "$build" --output-on-failure -j 4 "${exclude[@]}"
status=$?
if [ -n "$red" ]; then
  echo "known red, not counted:"
  cat KNOWN-RED.txt
  ctest --test-dir "$build" -R "^($red)\$" || true
fi
exit $status
