#!/usr/bin/env bash
# A new configuration gives a part of a rollout route to an application; see claim.txt. TROUBLE=0: it stays as it is.
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
source review/deployment.sh
start_deployment
timeout 110 "$STANDIN" moved-path review/2/record.txt "$FOLDER" "$CONTROLS" "$ENTRIES" "$(server_addresses 4)" \
  "${TROUBLE:-1}"
verdict=$?
[ -n "$KEEP_LOGS" ] && cp -r "$FOLDER" "$KEEP_LOGS"
[ "$verdict" -le 1 ] || verdict=2
exit "$verdict"
