#!/usr/bin/env bash
# Demonstrates the complete system on loopback: 3 control instances of one site, an entry of another
# site, 4 fake engines and a plain service. Applies the example configuration, runs a rollout step and
# prints a burn report. Stops all processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(cd "${1:-build}" && pwd)
data=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$data"
}
trap finish EXIT

# Picks free ports.
ports=($(python3 - <<'PY'
import socket
socks = [socket.socket() for _ in range(8)]
for s in socks: s.bind(("127.0.0.1", 0))
print(*[s.getsockname()[1] for s in socks])
PY
))
names=(clyde-1 forth-1 tay-1 riga-a-1)
zones=(hall-clyde hall-forth hall-tay riga-a)
sites=(strathallan strathallan strathallan kadrs)
control=(true true true false)
echo "peers:" > "$data/fleet.yaml"
for i in 0 1 2 3; do
  echo "  ${names[i]}: {address: \"127.0.0.1:${ports[i + 4]}\", site: ${sites[i]}, zone: ${zones[i]}, control: ${control[i]}}" >> "$data/fleet.yaml"
done
echo "drain: {notice: 100ms, limit: 5s}" >> "$data/fleet.yaml"
for i in 0 1 2 3; do
  {
    echo "instance: {id: ${names[i]}, site: ${sites[i]}, zone: ${zones[i]}}"
    echo "listen: {callers: \"127.0.0.1:${ports[i]}\", peers: \"127.0.0.1:${ports[i + 4]}\"}"
    echo "ports_file: $data/${names[i]}.ports"
    [ "${control[i]}" = true ] && echo "data_folder: $data/${names[i]}"
  } > "$data/${names[i]}.yaml"
  "$build/packages/hickoryd/hickoryd" --settings="$data/fleet.yaml,$data/${names[i]}.yaml" 2> "$data/${names[i]}.log" &
  pids+=($!)
done
for name in "${names[@]}"; do until [ -e "$data/$name.ports" ]; do sleep 0.05; done; done
server=127.0.0.1:${ports[0]}
ctl() { "$build/packages/hickoryctl/hickoryctl" --server="$server" "$@"; }

echo "== bootstrap the control group, submit the base file and both overlays"
ctl bootstrap
ctl validate examples/base.yaml --overlay=strathallan=examples/strathallan.yaml,kadrs=examples/kadrs.yaml
until ctl submit examples/base.yaml --scope=base; do sleep 0.3; done
ctl submit examples/strathallan.yaml --scope=strathallan
ctl submit examples/kadrs.yaml --scope=kadrs

echo "== four engines and a plain service announce themselves"
entries="127.0.0.1:${ports[0]},127.0.0.1:${ports[1]},127.0.0.1:${ports[2]}"
fake="$build/tests/fakes/fake_endpoint"
for i in 0 1 2 3; do
  "$fake" --id="rigcoach-$i" --name=rigcoach-7b --site=strathallan --zone="${zones[i % 3]}" --entries="$entries" &
  pids+=($!)
done
"$fake" --kind=service --id=slotdesk-1 --name=slotdesk --site=strathallan --zone=hall-clyde --entries="$entries" &
pids+=($!)
until [ "$(ctl status | grep -c 'version')" -ge 5 ]; do sleep 0.1; done
ctl status

echo "== a rollout step: opened at ${names[0]}, pulled from ${names[1]}"
python3 scripts/demo_trainer.py "$server" "127.0.0.1:${ports[1]}"

echo "== a hold, sent twice with one idempotency key"
for at in "${ports[0]}" "${ports[2]}"; do
  python3 scripts/demo_trainer.py --hold "127.0.0.1:$at"
done

echo "== service-level burn"
ctl report burn
