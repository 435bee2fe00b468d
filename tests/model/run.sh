#!/usr/bin/env bash
# Checks the models, and checks that each model reports a violation when a safeguard is removed.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"
passed=0
failed=0

# check MODEL EXPECTATION [switches]: EXPECTATION is "holds" or "breaks".
check() {
  local model=$1 expectation=$2
  shift 2
  spin -a "$@" "$here/$model.pml" > spin.out
  gcc -O2 -w -DSAFETY -DCOLLAPSE -DVECTORSZ=2048 -o pan pan.c
  ./pan -m200000 -w26 > pan.out
  local found=holds
  grep -q "errors: 0" pan.out || found=breaks
  if grep -q "max search depth too small\|out of memory" pan.out; then found=incomplete; fi
  local states
  states=$(awk '/states, stored/ { print $1; exit }' pan.out)
  if [ "$found" = "$expectation" ]; then
    passed=$((passed + 1))
    echo "ok: $model $* $found ($states states)"
  else
    failed=$((failed + 1))
    echo "FAILED: $model $* expected $expectation, found $found ($states states)"
  fi
}

check claim holds
check claim breaks -DNO_CLAIM
check claim breaks -DRELEASE_UNKNOWN
check lease holds
check lease breaks -DNO_PROMISE
check lease breaks -DOLD_IDENTITY
echo "models: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
