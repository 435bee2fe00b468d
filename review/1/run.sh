#!/usr/bin/env bash
# Servers of a service crash in turn while they run a batch submission; see claim.txt. TROUBLE=0: none crashes.
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
source review/deployment.sh
start_deployment
timeout 110 "$STANDIN" held-items review/1/record.txt "$FOLDER" "$CONTROLS" "$ENTRIES" "$(server_addresses 9)" \
  "${TROUBLE:-1}"
verdict=$?
[ -n "$KEEP_LOGS" ] && cp -r "$FOLDER" "$KEEP_LOGS"
[ "$verdict" -le 1 ] || verdict=2
exit "$verdict"
