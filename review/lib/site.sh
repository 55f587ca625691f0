# A small deployment on loopback for the scripts of this review: settings as deploy/settings.toml.template makes them, and the
# platform's part (start, restart after an exit, stop). Sourced by run.sh, which sets CASE to its own folder.

ROOT=$(cd "$CASE/../.." && pwd)
PROGRAM=$ROOT/target/nutmegtide
WORK=$(mktemp -d)
RECORD=$CASE/record.txt
TROUBLE=${TROUBLE:-1}
declare -A PIDS EXITS SETTINGS
: > "$RECORD"

# Writes a line with the time to record.txt.
note() { printf '%s %s\n' "$(date +%s.%N | cut -c1-14)" "$*" >> "$RECORD"; }

cannot_run() { note "can't run: $*"; echo "can't run: $*"; exit 2; }

# The processes use the same ports at addresses of their own, as on the platform. Sets the variable to a port that no
# socket of this machine uses.
TAKEN=' '
take_port() {
    local port
    while :; do
        port=$((20000 + RANDOM % 9000))
        [[ $TAKEN == *" $port "* ]] && continue
        grep -qi ":$(printf '%04X' "$port") " /proc/net/tcp /proc/net/tcp6 2> /dev/null || break
    done
    TAKEN+="$port "
    printf -v "$1" '%s' "$port"
}

for name in CONTROL_PORT FRONT_PORT HEALTH_PORT PEER_PORT OPERATOR_PORT PROMOTION_PORT SERVER_PORT; do
    take_port $name
done

# write_settings NAME ROLE ADDRESS ZONE FIRST_START
write_settings() {
    SETTINGS[$1]=$WORK/$1.toml
    {
        echo "[node]"
        echo "name = \"$1\""
        echo "role = \"$2\""
        echo "failure_domain = \"$4\""
        echo 'fleet = "site"'
        echo "seeds = [\"127.0.0.1:$CONTROL_PORT\", \"127.0.0.2:$CONTROL_PORT\", \"127.0.0.3:$CONTROL_PORT\"]"
        echo "first_start = $5"
        echo "tolerated_losses = 1"
        echo "drain_seconds = 6"
        echo 'server_leave_time = "7000ms"'
        echo 'revocation_time = "3000ms"'
        [ "$2" = control ] && echo "data_dir = \"$WORK/$1-data\""
        echo "promotions = \"127.0.0.1:$PROMOTION_PORT\""
        echo "[listen]"
        if [ "$2" = control ]; then
            echo "callers = \"$3:$CONTROL_PORT\""
        else
            echo "callers = \"$3:$FRONT_PORT\""
            echo "health = \"$3:$HEALTH_PORT\""
            echo "lanes = \"$3:$PEER_PORT\""
        fi
        echo "peers = \"$3:$PEER_PORT\""
        echo "operators = \"$3:$OPERATOR_PORT\""
        echo "[log]"
        echo "to_standard_output = true"
    } > "${SETTINGS[$1]}"
}

start_process() {
    "$PROGRAM" serve --config "${SETTINGS[$1]}" >> "$WORK/$1.log" 2>&1 &
    PIDS[$1]=$!
    disown
    note "platform: started $1, process ${PIDS[$1]}"
}

is_running() { kill -0 "${PIDS[$1]}" 2> /dev/null; }

# Restarts each process that has ended, as the platform does.
restart_ended() {
    local name
    for name in "${!PIDS[@]}"; do
        is_running "$name" && continue
        EXITS[$name]=$((${EXITS[$name]:-0} + 1))
        note "platform: $name ended by itself (exit ${EXITS[$name]}): $(tail -n 1 "$WORK/$name.log" | cut -c1-160)"
        sed -i 's/^first_start = .*/first_start = false/' "${SETTINGS[$name]}"
        start_process "$name"
    done
}

stop_all() {
    local name
    for name in "${!PIDS[@]}"; do
        kill -9 "${PIDS[$name]}" 2> /dev/null
    done
    for name in ${STANDIN_PIDS:-}; do
        kill -9 "$name" 2> /dev/null
    done
    [ -n "${KEEP:-}" ] || rm -rf "$WORK"
}
trap stop_all EXIT
trap "exit 2" INT TERM

# http ADDRESS PORT METHOD PATH BODY: prints the whole response; nothing where none comes within a second.
http() {
    timeout 1 bash -c '
        exec 9<> "/dev/tcp/$1/$2" || exit 1
        printf "%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" \
            "$3" "$4" "${#5}" "$5" >&9
        cat <&9' _ "$@" 2> /dev/null
}

status_of() { head -n 1 <<< "$1" | cut -d' ' -f2; }

# Sends a call to the control VMs in turn until one answers 2xx. Prints the last status.
call_control() {
    local address answer status=none
    for address in 127.0.0.1 127.0.0.2 127.0.0.3; do
        answer=$(http "$address" "$CONTROL_PORT" "$1" "$2" "$3")
        status=$(status_of "$answer")
        [[ $status == 2* ]] && break
    done
    echo "${status:-none}"
}

desired_state() {
    printf '{"version":%d,"routes":[{"name":"r","databaseName":"casks","pathPrefix":"/","type":"primary","timeoutMs":2000,"targetLatencyMs":1000,"priority":1,"service":"db","maxAttempts":2}],"services":[{"name":"db","healthPath":"/health","maxConnections":46,"protocol":"h1","tls":false,"syncReplicas":0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"txIdleMs":3000}}' "$1"
}

# status_report ADDRESS SEQUENCE [ROLE]
status_report() {
    printf '{"service":"db","address":"%s","zone":"zone-a","version":"v1","slots":3,"phase":"ready","coldRemainingMs":0,"dbRole":"%s","sequence":%d,"born":1767225600000}' "$1" "${3:-replica}" "$2"
}

[ -x "$PROGRAM" ] || cannot_run "there is no target/nutmegtide"
