#!/usr/bin/env bash
# Measures the costs per unit of size from which docs/CAPACITY.md is calculated,
# and writes its table and plots. Takes some minutes and less than 2 GiB.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/measure ./internal/capacity/measure
out=run/capacity.tsv
example=examples/kupa
# shellcheck disable=SC1091
. "$example/deployment"
pids=()
stop() {
  trap '' INT TERM
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf run
}
trap stop EXIT
trap 'exit 130' INT TERM
rm -rf run
mkdir -p run/logs docs/capacity

bin/vanillaward certificates authority run/authority
# shellcheck disable=SC2086
bin/vanillaward certificates instance --authority run/authority --into run/credentials $instances
bin/vanillaward certificates operator --authority run/authority --into run/credentials operator
# Raises the batch cap, because one instance is to carry the streams of 25 engines
# with small batches.
sed 's/^batch-cap.*/batch-cap = 160/' "$example/fleet.ini" >run/fleet.ini
sed 's/^value.*/value = 159/' "$example/exceptions.ini" >run/exceptions.ini
declarations=(run/fleet.ini "$example"/{targets,services,organisations}.ini run/exceptions.ini)
bin/vanillaward-standin run --admin "$admin" "${declarations[@]}" 2>run/logs/standin.log &
pids+=($!)
for name in $instances; do
  bin/vanillaward run --settings "$example/instances/$name.ini" 2>"run/logs/$name.log" &
  pids+=($!)
done
export VANILLAWARD_REPLICAS=$replicas VANILLAWARD_CREDENTIALS=run/credentials/operator
until bin/vanillaward replica init >/dev/null 2>&1; do sleep 0.2; done
bin/vanillaward apply "${declarations[@]}" >/dev/null
for address in $health; do
  until curl --silent --fail "http://$address/readyz?keepers=1" >/dev/null; do sleep 0.2; done
done
first=${health%% *}
metric() { curl --silent "http://$first/metrics" | awk -v name="$1" '$1 == name { print $2 }'; }
row() { printf '%s\tmake capacity\t%s\t%s\t%s\t%s\n' "$1" "$2" "$3" "$4" "$5" >>"$out"; }

for streams in 150 300 600 1200; do
  cpu=$(metric process_cpu_seconds_total)
  bin/vanillaward-standin load --url "http://$callers" --key "$key" --model guide-8b \
    --streams $streams --requests $streams --tokens 200 >run/load.txt &
  load=$!
  peak=0
  while kill -0 $load 2>/dev/null; do
    now=$(metric process_resident_memory_bytes)
    if [ "${now%.*}" -gt "$peak" ]; then peak=${now%.*}; fi
    sleep 0.5
  done
  wait $load
  cat run/load.txt
  read -r tokens seconds < <(awk '{ print $6, $8 }' run/load.txt)
  used=$(awk -v a="$cpu" -v b="$(metric process_cpu_seconds_total)" 'BEGIN { print b - a }')
  row entry-memory "open streams" "megabytes" $streams "$(awk -v p="$peak" 'BEGIN { print p / 1e6 }')"
  row entry-processor "tokens/s" "seconds of processor a second" "$(awk -v t="$tokens" -v s="$seconds" 'BEGIN { print t / s }')" \
    "$(awk -v u="$used" -v s="$seconds" 'BEGIN { print u / s }')"
  sleep 3
done
for streams in 1 2 4 8; do
  cpu=$(metric process_cpu_seconds_total)
  sent=$(metric vanillaward_peer_sent_bytes)
  bin/vanillaward-standin load --url "http://$callers" --key "$key" --path /services/bookings/dips \
    --streams $streams --requests $((streams * 400)) >run/load.txt
  cat run/load.txt
  read -r requests seconds < <(awk '{ print $2, $8 }' run/load.txt)
  used=$(awk -v a="$cpu" -v b="$(metric process_cpu_seconds_total)" 'BEGIN { print b - a }')
  bytes=$(awk -v a="$sent" -v b="$(metric vanillaward_peer_sent_bytes)" 'BEGIN { print b - a }')
  rate=$(awk -v r="$requests" -v s="$seconds" 'BEGIN { print r / s }')
  row booking-processor "bookings/s" "seconds of processor a second" "$rate" "$(awk -v u="$used" -v s="$seconds" 'BEGIN { print u / s }')"
  row booking-traffic "bookings/s" "bytes a second sent to keepers" "$rate" "$(awk -v u="$bytes" -v s="$seconds" 'BEGIN { print u / s }')"
done
bin/measure run "$out"
bin/measure report "$out" docs/CAPACITY.md
cp "$out" docs/capacity/measurements.tsv
echo "docs/CAPACITY.md has the new table"
