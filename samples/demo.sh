#!/usr/bin/env bash
# Runs a small fleet on loopback: four VMs in four failure domains and one database
# of three backend servers. Writes, roams, reads from a replica, ends the primary,
# sees the new term and the merged time line, then stops by itself.
#
#   samples/demo.sh BUILD          the whole demo
#   samples/demo.sh BUILD --keep   starts the fleet, says how to break it, and runs until Ctrl-C
set -euo pipefail
build=$(cd "$1" && pwd)
work=$(mktemp -d)
started=()
cleanup() {
    for pid in "${started[@]}"; do kill "$pid" 2> /dev/null || true; done
    wait
    rm -rf "$work"
}
trap cleanup EXIT

say() { printf '\n== %s\n' "$*"; }
field() { grep -o "\"$2\":\"[^\"]*\"" "$1" | head -n 1 | cut -d'"' -f4; }
wait_for_file() { for _ in $(seq 600); do [ -s "$1" ] && return; sleep 0.05; done; echo "no $1"; exit 1; }

domains=(a b c d)
seeds=

# The first VM takes its ports from the kernel and is the seed of the others.
start_vm() {
    local domain=$1 folder="$work/vm-$1"
    mkdir -p "$folder"
    {
        printf '[node]\nname = "vm-%s"\nfailure_domain = "fd-%s"\nfleet = "demo"\n' "$domain" "$domain"
        printf 'seeds = [%s]\nport_file = "%s/vm-%s.ports"\n' "$seeds" "$work" "$domain"
        if [ "$domain" != d ]; then
            printf 'control = ["vm-a", "vm-b", "vm-c"]\ndata_dir = "%s/data-%s"\n' "$work" "$domain"
        fi
        printf '[listen]\ncallers = "127.0.0.1:0"\noperators = "127.0.0.1:0"\npeers = "127.0.0.1:0"\n'
        printf '[log]\nlevel = "info"\ndir = "%s/log-%s"\n' "$work" "$domain"
    } > "$folder/node.toml"
    mkdir -p "$work/log-$domain" "$work/data-$domain"
    "$build/nutmegtide" serve --config "$folder" &
    started+=($!)
    wait_for_file "$work/vm-$domain.ports"
    [ -n "$seeds" ] || seeds="\"$(field "$work/vm-$domain.ports" peers)\""
}

start_server() {
    local id=$1 domain=$2
    shift 2
    "$build/nutmegtide-standin" --id "$id" --database casks --failure-domain "fd-$domain" \
        --listen 127.0.0.1:0 --port-file "$work/$id.port" --announce "$callers_a,$callers_b,$callers_d" \
        --voters s1,s2,s3 --lag-ms 20 --data "$work/server-$id" "$@" &
    started+=($!)
    last_pid=$!
    wait_for_file "$work/$id.port"
}

# Sends one statement; keeps the session token from answer to request.
session=
statement() {
    local proxy=$1 body=$2
    shift 2
    curl -s -D "$work/headers" -H "Nutmegtide-Session: $session" "$@" \
        "http://$proxy/v1/databases/casks/statements" -d "$body" > "$work/answer" || return 1
    session=$(grep -i '^Nutmegtide-Session:' "$work/headers" | tr -d '\r' | cut -d' ' -f2 || echo "$session")
    cat "$work/answer"
    echo
    grep -q '"result"' "$work/answer"
}
until_answered() { for _ in $(seq 400); do statement "$@" > /dev/null && cat "$work/answer" && echo && return; sleep 0.05; done; cat "$work/answer"; exit 1; }

# Prints what to type to break the fleet and to see what it did.
explain() {
    local write='{"statement":"put","parameters":{"key":"cask-7","value":1},"access":"write"}'
    printf '\n'
    printf 'kill -STOP %s   # freeze the primary s1; -CONT thaws it, -9 kills it\n' "$primary_pid"
    printf 'kill -9 %s      # kill VM vm-d\n' "${started[3]}"
    printf "curl http://%s/v1/databases/casks/statements -d '%s'\n" "$callers_b" "$write"
    printf '%s/nutmegtide status --at %s\n' "$build" "${operators%%,*}"
    printf '%s/nutmegtide timeline --at %s --html out/timeline.html\n' "$build" "$operators"
}

say "four VMs, three backend servers"
for domain in "${domains[@]}"; do start_vm "$domain"; done
callers_a=$(field "$work/vm-a.ports" callers)
callers_b=$(field "$work/vm-b.ports" callers)
callers_d=$(field "$work/vm-d.ports" callers)
operators=$(for d in "${domains[@]}"; do field "$work/vm-$d.ports" operators; done | paste -sd,)
start_server s1 a --primary
primary_pid=$last_pid
primary=$(field "$work/s1.port" address)
start_server s2 b --follow "$primary"
start_server s3 c --follow "$primary"

say "a write through VM a"
until_answered "$callers_a" '{"statement":"put","parameters":{"key":"cask-7","value":"gauged"},"access":"write"}' \
    -H 'Idempotency-Key: demo-1'
say "the same session reads through VM b"
statement "$callers_b" '{"statement":"get","parameters":{"key":"cask-7"},"access":"read"}'
say "a read that accepts data of one second's age is served by a replica"
statement "$callers_d" '{"statement":"get","parameters":{"key":"cask-7"},"access":"read","max_age_ms":1000}'

if [ "${2:-}" = --keep ]; then
    say "the fleet runs until Ctrl-C; in another terminal:"
    explain
    wait
fi

say "the primary s1 is killed; the next write goes to a new term"
kill -9 "$primary_pid"
begin=$(date +%s%N)
until_answered "$callers_b" '{"statement":"put","parameters":{"key":"cask-7","value":"moved"},"access":"write"}' \
    -H 'Idempotency-Key: demo-2'
echo "answered after $((($(date +%s%N) - begin) / 1000000)) ms"
statement "$callers_d" '{"statement":"get","parameters":{"key":"cask-7"},"access":"read"}'

say "status"
"$build/nutmegtide" status --at "${operators%%,*}"
say "time line"
mkdir -p out
"$build/nutmegtide" timeline --at "$operators" --html out/timeline.html
echo "page: out/timeline.html"
say "stopping"
