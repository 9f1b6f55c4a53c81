#!/usr/bin/env bash
# Measures what one instance adds, on loopback; prints JSON lines.
# usage: tools/bench_gateway.sh [latency|throughput|memory|garbage]...
# One engine, so that the direct side and the gateway meet the same one.
set -euo pipefail
cd "$(dirname "$0")/.."
. tools/site_lib.sh
site_limit=10min
parts=${*:-memory latency throughput garbage}
model=dock-rijeka@3

start() {
    standin platform platform
    standin engine-1 engine --name=engine-1 --batch-limit=4096 \
        --first-token=20ms --token-interval=50ms --load-time=10ms
    standin fast-1 engine --name=fast-1 --batch-limit=4096 \
        --first-token=0ms --token-interval=1ms --load-time=10ms
    standin fast-2 engine --name=fast-2 --batch-limit=4096 \
        --first-token=0ms --token-interval=1ms --load-time=10ms
    read -r port[entry-1] port[entry-1-peer] <<<"$(free_ports 2)"
    write_settings entry-1 rijeka-a
    list_instances entry-1:rijeka-a
    ticket >"$dir/ticket.json"
    publish_ticket 1 "$dir/ticket.json"
    entry entry-1
    wait_ready entry-1
    wait_ticket 1 entry-1
}

# target NAME GROUP MODEL
target() {
    printf '"%s": {"group": "%s", "address": "127.0.0.1", "port": %s,
        "failure_domain": "rijeka-a", "model": "%s", "max_running": 4096}' \
        "$1" "$2" "${port[$1]}" "$3"
}

ticket() {
    cat <<TICKET
{"ticket": 1,
 "stores": {"store": {"loads_per_second": 4}},
 "services": {"steady": {"group": "steady", "max_open": 4096},
              "fast": {"group": "fast", "max_open": 4096}},
 "adapters": {
   "dock-rijeka": {"model": "base", "versions": ["3"], "services": ["steady"]},
   "quick": {"model": "base", "versions": ["1"], "services": ["fast"]}},
 "targets": {$(target engine-1 steady base),
   $(target fast-1 fast base), $(target fast-2 fast base)}}
TICKET
}

bench() {
    local command=$1
    shift
    "$build/lovagegate-bench" "$command" \
        --gateway="127.0.0.1:${port[entry-1]}" "$@"
}

# Loads the adapters, so that no load stall is measured.
warm_up() {
    local name
    for name in "$model" quick@1; do
        curl -sf -m 30 "http://127.0.0.1:${port[entry-1]}/v1/completions" \
            -H 'X-Deadline-Ms: 30000' \
            -d "{\"model\":\"$name\",\"prompt\":\"a\",\"max_tokens\":1}" \
            >/dev/null || fail "no answer for $name"
    done
}

# streams_run STREAMS REQUESTS TOKENS
streams_run() {
    bench streams --direct="127.0.0.1:${port[engine-1]}" --model="$model" \
        --streams="$1" --requests="$2" --tokens="$3" --ramp=1s
}

measure() {
    local pid=${pid_of[entry-1]}
    case $1 in
    memory)
        bench memory --model="$model" --pid="$pid" --streams=256 --tokens=200
        ;;
    latency)
        # Few tokens for one stream, so that first tokens are many too.
        streams_run 1 100 8
        streams_run 32 320 20
        streams_run 256 1024 20
        ;;
    throughput)
        bench throughput --model=quick@1 --pid="$pid" --streams=64 \
            --tokens=1 --length=5s
        bench throughput --model=quick@1 --pid="$pid" --streams=64 \
            --tokens=200 --length=5s
        ;;
    garbage)
        bench garbage --model="$model" --pid="$pid" --streams=8 --tokens=4
        ;;
    *) fail "unknown part $1" ;;
    esac
}

open_site
start
warm_up
for part in $parts; do
    measure "$part"
done
