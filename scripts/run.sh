#!/usr/bin/env bash
# Runs one deployment of the examples as separate processes on loopback, sends a
# few requests, and stops everything gracefully. Leaves nothing behind.
#
#   DEPLOYMENT=correa|kupa   which example (default correa)
#   KEEP=1                   keep running until interrupted
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${DEPLOYMENT:-correa}
example=examples/$deployment
declarations=("$example"/{fleet,targets,services,organisations,exceptions}.ini)
# shellcheck disable=SC1090
. "$example/deployment"
pids=()
standin=

stop() {
  trap '' INT TERM
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ -n "$standin" ]; then kill -TERM "$standin" 2>/dev/null || true; wait "$standin" 2>/dev/null || true; fi
  rm -rf run
}
trap stop EXIT
trap 'exit 130' INT TERM

rm -rf run
mkdir -p run/credentials run/logs
bin/vanillaward check "$example"/instances/*.ini "${declarations[@]}"
bin/vanillaward certificates authority run/authority
# shellcheck disable=SC2086
bin/vanillaward certificates instance --authority run/authority --into run/credentials $instances
bin/vanillaward certificates operator --authority run/authority --into run/credentials operator

bin/vanillaward-standin run --admin "$admin" --speed "${SPEED:-1}" "${declarations[@]}" 2>run/logs/standin.log &
standin=$!
for name in $instances; do
  bin/vanillaward run --settings "$example/instances/$name.ini" 2>"run/logs/$name.log" &
  pids+=($!)
done

export VANILLAWARD_REPLICAS=$replicas VANILLAWARD_CREDENTIALS=run/credentials/operator
started=$(date +%s%3N)
await() { # await WHAT COMMAND...
  local what=$1
  shift
  for _ in $(seq 300); do
    if "$@" >run/logs/await.log 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "not ready: $what" >&2
  cat run/logs/await.log >&2
  tail -n 5 run/logs/*.log >&2
  return 1
}
await "replicas" bin/vanillaward replica init
bin/vanillaward apply --note "first version" "${declarations[@]}"
for address in $health; do
  await "$address" curl --silent --fail "http://$address/readyz?keepers=1"
done
echo "ready after $(($(date +%s%3N) - started)) ms"
bin/vanillaward-standin call --url "http://$callers" --key "$key" "$example/requests.tsv"
bin/vanillaward status
bin/vanillaward history
if [ "${KEEP:-0}" = 1 ]; then
  echo "running; interrupt to stop"
  while sleep 1; do :; done
fi
echo "stopping"
