#!/usr/bin/env bash
# Starts a small deployment on loopback addresses, with settings made from the templates of the deploy file: 5 control
# instances, 3 stores and 3 entries in 3 zones, as strathallan-tunnels has them. Sourced by the scripts of the cases.
# Sets CONTROLS, ENTRIES and FOLDER; everything that was started ends with the script.

FOLDER=$(mktemp -d)
STARTED=()
STANDIN=target/review/standin
PROGRAM=target/packages/hickoryd/hickoryd
NET=127.$((64 + RANDOM % 64)).$((1 + RANDOM % 250))

end_all() {
  local pid
  for pid in "${STARTED[@]}"; do kill -KILL "$pid" 2> /dev/null; done
  wait 2> /dev/null
  rm -rf "$FOLDER"
}
trap end_all EXIT

# write_settings ROLE NAME IP ZONE FIRST_START
write_settings() {
  local file=$FOLDER/$2.yaml
  {
    echo "role: $1"
    echo "instance: {id: \"$2\", zone: \"$4\"}"
    echo "listen:"
    [ "$1" = control ] && echo "  control: \"$3:$CONTROL_PORT\""
    [ "$1" = entry ] && echo "  callers: \"$3:$FRONT_PORT\"" && echo "  readiness: \"$3:$READY_PORT\""
    echo "  peers: \"$3:$PEERS_PORT\""
    echo "  metrics: \"$3:$METRICS_PORT\""
    echo "seeds: [$NET.11:$CONTROL_PORT, $NET.12:$CONTROL_PORT, $NET.13:$CONTROL_PORT]"
    [ "$1" != entry ] && echo "first_start: $5" && echo "data_folder: \"$FOLDER/$2.data\""
    [ "$1" = store ] && echo "memory_mb: 280"
    [ "$1" != entry ] && echo "losses: {instances: 1}" && echo "steps: {retention: \"120s\"}"
    [ "$1" = control ] && echo "endpoints: {heartbeat: \"1200ms\"}" && echo "orders: {holder_lease: \"3000ms\"}"
    [ "$1" != control ] && echo "access: {apply_limit: \"2000ms\"}"
    echo "drain: {grace: \"8s\"}"
  } > "$file"
}

# start_instance NAME: the command of the deploy file, with the settings file of the instance.
start_instance() {
  HICKORYWOOD_SETTINGS=$FOLDER/$1.yaml "$PROGRAM" > "$FOLDER/$1.log" 2>&1 &
  STARTED+=($!)
}

start_deployment() {
  if [ ! -x "$PROGRAM" ] || [ ! -x "$STANDIN" ]; then
    echo "build target/ and run review/build.sh first" >&2
    exit 2
  fi
  local ips=("$NET.11" "$NET.12" "$NET.13" "$NET.14" "$NET.15" "$NET.21" "$NET.22" "$NET.23" "$NET.31" "$NET.32" "$NET.33")
  PEERS_PORT=$("$STANDIN" port "${ips[@]}") && CONTROL_PORT=$("$STANDIN" port "${ips[@]}") || exit 2
  FRONT_PORT=$("$STANDIN" port "${ips[@]}") && READY_PORT=$("$STANDIN" port "${ips[@]}") || exit 2
  METRICS_PORT=$("$STANDIN" port "${ips[@]}") || exit 2
  local zones=(hall-clyde hall-forth hall-tay) i
  CONTROLS='' ENTRIES=''
  for i in 1 2 3 4 5; do
    write_settings control "core-$i" "$NET.1$i" "${zones[$(((i - 1) % 3))]}" true
    CONTROLS+=$NET.1$i:$CONTROL_PORT,
    start_instance "core-$i"
  done
  for i in 1 2 3; do
    write_settings store "store-$i" "$NET.2$i" "${zones[$((i - 1))]}" true
    start_instance "store-$i"
    write_settings entry "front-$i" "$NET.3$i" "${zones[$((i - 1))]}" true
    ENTRIES+=$NET.3$i:$FRONT_PORT,
    start_instance "front-$i"
  done
  CONTROLS=${CONTROLS%,} ENTRIES=${ENTRIES%,}
}

# server_addresses COUNT: free addresses for servers, all with one port.
server_addresses() {
  local ips=() i port
  for ((i = 1; i <= $1; ++i)); do ips+=("$NET.$((100 + i))"); done
  port=$("$STANDIN" port "${ips[@]}") || exit 2
  printf '%s\n' "${ips[@]/%/:$port}" | paste -sd,
}
