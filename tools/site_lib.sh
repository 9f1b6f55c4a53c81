# Functions to start a small site on loopback; sourced by the site scripts.
# They end only processes that they have started, by number.

build=${BUILD:-build}
site_limit=${SITE_LIMIT:-12h}
pids=()

fail() {
    echo "$(basename "$0"): $*" >&2
    for log in "$dir"/entry-*.log; do
        [ ! -s "$log" ] || { echo "--- last lines of $log" >&2; tail -5 "$log" >&2; }
    done
    local name
    for name in "${!pid_of[@]}"; do
        [[ $name == entry-* ]] || continue
        echo "--- status of $name" >&2
        "$build/lovagegate" status "127.0.0.1:${port[$name]}" >&2 || true
    done
    exit 1
}

# Ends what was started: a graceful shutdown, then by force.
clean_up() {
    local pid round
    trap - EXIT INT TERM
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for round in $(seq 50); do
        alive=0
        for pid in "${pids[@]}"; do
            kill -0 "$pid" 2>/dev/null && alive=1
        done
        [ "$alive" = 0 ] && break
        sleep 0.1
    done
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$dir"
}

open_site() {
    [ -x "$build/lovagegate" ] || { echo "build first: make build" >&2; exit 1; }
    dir=$(mktemp -d "$build/site.XXXXXX")
    trap clean_up EXIT
    trap 'exit 130' INT
    trap 'exit 143' TERM
    head -c 24 /dev/urandom | base64 >"$dir/peer.key"
}

# standin NAME ARGUMENT...: starts one; its port is then in ${port[NAME]}.
declare -A port pid_of
standin() {
    local name=$1 round
    shift
    "$build/lovagegate-standin" "$@" --for="$site_limit" \
        >"$dir/$name.log" 2>&1 &
    pids+=($!)
    pid_of[$name]=$!
    for round in $(seq 50); do
        port[$name]=$(grep -oE "[0-9]+$" "$dir/$name.log" 2>/dev/null || true)
        [ -n "${port[$name]}" ] && return
        sleep 0.1
    done
    fail "stand-in $name did not start: $(cat "$dir/$name.log")"
}

# free_ports N: prints that many free ports of 127.0.0.1.
free_ports() {
    python3 - "$1" <<'PYTHON'
import socket, sys
sockets = [socket.socket() for _ in range(int(sys.argv[1]))]
for s in sockets:
    s.bind(("127.0.0.1", 0))
print(*(s.getsockname()[1] for s in sockets))
PYTHON
}

# write_settings NAME DOMAIN: settings of one instance, ports in ${port[]}.
write_settings() {
    cat >"$dir/$1.ini" <<SETTINGS
[instance]
name = $1
failure-domain = $2
listen = 127.0.0.1:${port[$1]}
peer-listen = 127.0.0.1:${port[$1-peer]}
[platform]
config-address = 127.0.0.1:${port[platform]}
list-address = 127.0.0.1:${port[platform]}
list-lag = 500ms
list-fresh = 1500ms
clock-skew = 100ms
[peers]
key-file = $dir/peer.key
[pool]
lease-ttl = 3s
send-window = 1500ms
report-interval = 200ms
batch-hold = 2s
[limits]
service-open-requests = 4096
connections = 4096
SETTINGS
}

# entry NAME: starts an instance with the settings of write_settings.
entry() {
    "$build/lovagegate" serve --settings="$dir/$1.ini" \
        >"$dir/$1.log" 2>&1 &
    pids+=($!)
    pid_of[$1]=$!
}

# list_instances NAME:DOMAIN...: publishes the list of instances.
list_instances() {
    local list="" entry name
    for entry in "$@"; do
        name=${entry%%:*}
        list+="${list:+,}{\"ID\":\"$name\",\"Address\":\"127.0.0.1\","
        list+="\"Port\":${port[$name]},\"Meta\":{\"peer_port\":"
        list+="\"${port[$name-peer]}\",\"failure_domain\":\"${entry#*:}\","
        list+="\"phase\":\"live\"}}"
    done
    curl -sf -m 5 -X PUT "http://127.0.0.1:${port[platform]}/v1/agent/instances" \
        -d "[$list]" >/dev/null || fail "the list of instances was not taken"
}

# publish_ticket NUMBER FILE
publish_ticket() {
    curl -sf -m 5 -X PUT "http://127.0.0.1:${port[platform]}/v1/kv/tickets/$1" \
        --data-binary "@$2" >/dev/null || fail "ticket $1 was not taken"
}

# wait_ready NAME...: waits until the instances answer /readyz with 200.
wait_ready() {
    local name round
    for name in "$@"; do
        for round in $(seq 150); do
            kill -0 "${pid_of[$name]}" 2>/dev/null || fail "$name has ended"
            curl -sf -m 2 "http://127.0.0.1:${port[$name]}/readyz" \
                >/dev/null && continue 2
            sleep 0.1
        done
        fail "$name is not ready after 15 s"
    done
}

# wait_ticket NUMBER NAME...: waits until the ticket is in force.
wait_ticket() {
    local number=$1 name round
    shift
    for name in "$@"; do
        for round in $(seq 130); do
            curl -sf -m 2 "http://127.0.0.1:${port[$name]}/admin/status" \
                | grep -qE "\"highest\": ?$number\b" && continue 2
            sleep 0.1
        done
        fail "ticket $number is not in force on $name after 13 s"
    done
}
