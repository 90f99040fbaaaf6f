#!/usr/bin/env bash
# Demonstrates the whole path of a request on loopback: two entries and five
# agents, with stand-ins for three model engines, two plain services, the
# platform and a trainer. Pulls steps, sends requests and prints what came out.
set -eu
build=$1
dir=$(mktemp -d)
pids=""
stop() {
	for pid in $pids; do kill "$pid" 2>/dev/null || true; done
	wait 2>/dev/null || true
	rm -rf "$dir"
}
trap stop EXIT
start() {
	"$@" >>"$dir/log" 2>&1 &
	pids="$pids $!"
}
platform=http://127.0.0.1:18000
start "$build/fake-platform" --listen 127.0.0.1:18000
sleep 0.3
vms=""
vm() {
	vms="$vms${vms:+,}{\"vm\":\"$1\",\"role\":\"$2\",\"pool\":\"$3\","
	vms="$vms\"address\":\"127.0.0.1:$4\",\"failure_domain\":\"$5\",\"state\":\"live\"}"
}
for i in 1 2 3 4 5; do
	domain=fd-$((i % 2 + 1))
	if [ $i -le 3 ]; then
		name=llm-$i pool=llm kind=engine
		start "$build/fake-engine" --listen 127.0.0.1:1820$i \
			--models quote-drafter --platform $platform
	else
		name=shop-$i pool=shop kind=service
		start "$build/fake-service" --listen 127.0.0.1:1820$i
	fi
	cat >"$dir/$name.yaml" <<EOF
vm: $name
failure_domain: $domain
listen: 127.0.0.1:1810$i
platform: $platform
pool: $pool
upstream: http://127.0.0.1:1820$i
upstream_kind: $kind
slots: 16
interactive_reserve: 2
EOF
	start "$build/kwb-agent" --settings "$dir/$name.yaml"
	vm $name agent $pool 1810$i $domain
done
for i in 1 2; do
	cat >"$dir/entry-$i.yaml" <<EOF
vm: entry-$i
failure_domain: fd-$i
listen: 127.0.0.1:1800$i
platform: $platform
EOF
	start "$build/kwb-entry" --settings "$dir/entry-$i.yaml"
	vm entry-$i entry "" 1800$i fd-$i
done
curl -s -X PUT --data "[$vms]" $platform/vms >/dev/null
curl -s -X PUT --data 1 $platform/weights/quote-drafter
echo "--- apply the lists of plans and allowances"
"$build/kwbctl" --platform $platform apply examples/plans.yaml examples/allowances.yaml
sleep 4
echo "--- trainer: 3 steps of 8 groups of 4 samples, new weights after each"
"$build/fake-trainer" --platform $platform --plan quotes --model quote-drafter \
	--steps 3 --entries http://127.0.0.1:18001,http://127.0.0.1:18002
echo "--- completions of the prompts in examples/prompts.txt"
while read -r prompt; do
	curl -s -o "$dir/out" -w '%{http_code} in %{time_total} s: ' -X POST \
		-d "{\"prompt\":\"$prompt\",\"max_tokens\":6}" \
		http://127.0.0.1:18001/v1/plans/search/completions
	cut -c1-100 "$dir/out"
	echo
done <examples/prompts.txt
echo "--- an order with an idempotency key, sent through both entries"
for i in 1 2; do
	curl -s -i -X POST -H 'Idempotency-Key: demo-1' -d 'forty boxes' \
		http://127.0.0.1:1800$i/v1/plans/orders/call/orders |
		grep -i 'HTTP/\|outcome\|done'
done
echo "--- what the services ran"
for i in 4 5; do curl -s http://127.0.0.1:1820$i/journal; done
echo "--- counters of each entry"
for i in 1 2; do
	curl -s http://127.0.0.1:1800$i/metrics |
		grep 'ran_total\|unknown_total\|samples' | sed "s/^/entry-$i /"
done
"$build/kwbctl" --platform $platform status
