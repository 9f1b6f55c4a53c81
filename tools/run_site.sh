#!/usr/bin/env bash
# Starts a small site on loopback: two instances, three engines, a plain
# service, the platform and the weight store; sends real requests through it.
# usage: tools/run_site.sh [--once]
#   --once  ends after the answers: exit status 0, or 1 and the reason
set -euo pipefail
cd "$(dirname "$0")/.."
. tools/site_lib.sh
once=${1:-}
[ -z "$once" ] || [ "$once" = --once ] || { sed -n '2,5s/^# //p' "$0"; exit 2; }
[ -z "$once" ] || site_limit=5min

start() {
    echo "== starting the stand-ins and two instances"
    standin store store
    standin platform platform
    standin desk-1 service --name=desk-1
    local n
    for n in 1 2 3; do
        local fencing=()
        [ "$n" = 3 ] || fencing=(--check-fencing)
        standin "engine-$n" engine --name="engine-$n" --token-interval=50ms \
            --store="127.0.0.1:${port[store]}" "${fencing[@]}"
    done
    read -r port[entry-1] port[entry-1-peer] port[entry-2] \
        port[entry-2-peer] <<<"$(free_ports 4)"
    write_settings entry-1 rijeka-a
    write_settings entry-2 split-b
    "$build/lovagegate" check --settings="$dir/entry-1.ini"
    list_instances entry-1:rijeka-a entry-2:split-b
    entry entry-1
    entry entry-2
}

publish() {
    echo "== publishing ticket 1"
    sed -e "s/@ENGINE_1@/${port[engine-1]}/; s/@ENGINE_2@/${port[engine-2]}/" \
        -e "s/@ENGINE_3@/${port[engine-3]}/; s/@DESK_1@/${port[desk-1]}/" \
        examples/site-ticket.json >"$dir/ticket-1.json"
    "$build/lovagegate" check "$dir/ticket-1.json"
    publish_ticket 1 "$dir/ticket-1.json"
    wait_ready entry-1 entry-2
    wait_ticket 1 entry-1 entry-2
}

# ask TITLE FILE CURL-ARGUMENT...: one request; the answer is shown and kept.
ask() {
    local title=$1 answer=$dir/$2
    shift 2
    echo
    echo "== $title"
    curl -sS -N -m 30 -D "$answer.head" "$@" | tee "$answer" \
        || fail "no answer: $title"
    echo
    grep -iE '^x-(lovagegate-outcome|request-id|served-by)' "$answer.head" || true
}

# expect FILE PATTERN: the answer holds the pattern.
expect() {
    grep -qE "$2" "$dir/$1" || fail "answer '$1' does not hold '$2'"
}

requests() {
    local a=http://127.0.0.1:${port[entry-1]}
    local b=http://127.0.0.1:${port[entry-2]}
    # A new fleet loads nothing in its first seconds: this one may wait.
    ask "a streamed summary" summary "$a/v1/chat/completions" \
        -H 'X-Deadline-Ms: 25000' \
        -H 'X-Lovagegate-Service: summaries' -d '{"model":"dock-rijeka@3",
        "stream":true,"max_tokens":6,"messages":[{"role":"user",
        "content":"two cranes idle, one whistle late"}]}'
    expect summary 'dock-rijeka@3'
    expect summary 'data: \[DONE\]'
    local n
    for n in 1 2 3; do
        ask "roster look-up $n of 3" roster "$b/roster/crew-7" \
            -H 'X-Lovagegate-Service: desk'
        expect roster 'GET /roster/crew-7'
    done
    # A request id is only taken for new by a home that has seen all of its
    # time: 2 (list-lag + list-fresh + clock-skew) after it became home.
    sleep 4.5
    local id=signoff-$$ issued
    issued=$(date +%s%3N)
    local call=(-H 'X-Lovagegate-Service: desk' -H "X-Request-Id: $id"
        -H "X-Request-Issued: $issued" -d '{"member":41,"hours":8}')
    ask "a sign-off that may run only once" signoff "$a/signoff" "${call[@]}"
    expect signoff '"runs_of_this_id":1'
    ask "the same sign-off sent again, to the other instance" again \
        "$b/signoff" "${call[@]}"
    expect again '"runs_of_this_id":1'
    ask "an overnight digest" digest "$b/v1/completions" \
        -H 'X-Lovagegate-Service: digests' -H 'X-Priority: batch' \
        -d '{"model":"mill-zadar","max_tokens":8,"prompt":"week 48 at the mill"}'
    expect digest 'mill-zadar@7'
    ask "an adapter that no ticket permits is refused" refused \
        "$a/v1/chat/completions" -H 'X-Lovagegate-Service: summaries' \
        -d '{"model":"mill-zadar@7","messages":[{"role":"user","content":"not ours"}]}'
    expect refused '"type":"(not_run|invalid_request_error)"'
}

verify() {
    echo
    echo "== runs counted by the plain service"
    curl -sS -m 5 "http://127.0.0.1:${port[desk-1]}/admin/runs" \
        | tee "$dir/runs"
    echo
    expect runs "\"signoff-$$\":1[,}]"
    local n
    for n in 1 2 3; do
        curl -sS -m 5 "http://127.0.0.1:${port[engine-$n]}/admin/history" \
            >"$dir/history-$n"
        expect "history-$n" '"evicted_in_use":0'
    done
    for n in 1 2; do
        echo
        echo "== counters of entry-$n"
        curl -sS -m 5 "http://127.0.0.1:${port[entry-$n]}/metrics" \
            | grep -E '_total' || true
    done
    echo
    echo "== lovagegate status 127.0.0.1:${port[entry-1]}"
    "$build/lovagegate" status "127.0.0.1:${port[entry-1]}" \
        || fail "no status"
}

open_site
start
publish
requests
verify
echo
if [ -n "$once" ]; then
    echo "all answers are as expected"
    exit 0
fi
cat <<HINTS
The site keeps serving until Ctrl-C. To try:

curl -N http://127.0.0.1:${port[entry-1]}/v1/chat/completions \\
    -H 'X-Lovagegate-Service: summaries' \\
    -d '{"model":"quarry-brac@1","stream":true,"messages":[{"role":"user","content":"hello quarry"}]}'
curl http://127.0.0.1:${port[entry-2]}/roster/crew-9 -H 'X-Lovagegate-Service: desk'
curl http://127.0.0.1:${port[entry-1]}/v1/models
curl http://127.0.0.1:${port[entry-1]}/metrics
$build/lovagegate status 127.0.0.1:${port[entry-2]}
HINTS
while kill -0 "${pid_of[entry-1]}" "${pid_of[entry-2]}" 2>/dev/null; do
    sleep 1
done
fail "an instance has ended"
