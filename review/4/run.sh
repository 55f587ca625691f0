#!/bin/bash
# Another writer sends a status report whose id isn't text, once in six seconds. With TROUBLE=0 the same reports have a
# readable id.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib/site.sh"

for number in 1 2 3; do
    write_settings "core-$number" control "127.0.0.$number" "zone-$number" true
    start_process "core-$number"
done

version=3
for try in $(seq 1 40); do
    [[ $(call_control PUT /config "$(desired_state $version)") == 2* ]] && break
    sleep 0.25
    [ "$try" -eq 40 ] && cannot_run "the first desired state isn't acknowledged"
done
note "operator: version $version acknowledged"
sequence=1
note "server i-1: status report, answered $(call_control PUT /instances/i-1 "$(status_report "127.0.0.9:$SERVER_PORT" $sequence primary)")"
sleep 3

id='i-%FF'
[ "$TROUBLE" = 0 ] && id=i-2
other_sequence=0
send_other_report() {
    other_sequence=$((other_sequence + 1))
    note "another writer: status report for $id, answered $(call_control PUT "/instances/$id" \
        "$(status_report "127.0.0.9:$SERVER_PORT" $other_sequence)")"
}

unacknowledged=0
end=$((SECONDS + 40))
next_report=$SECONDS
while [ $SECONDS -lt $end ]; do
    restart_ended
    if [ $SECONDS -ge $next_report ]; then
        send_other_report
        next_report=$((SECONDS + 6))
    fi
    sequence=$((sequence + 1))
    beat=$(call_control PUT /instances/i-1 "$(status_report "127.0.0.9:$SERVER_PORT" $sequence primary)")
    version=$((version + 1))
    status=$(call_control PUT /config "$(desired_state $version)")
    note "server i-1: status report answered $beat; operator: version $version answered $status"
    [[ $status == 2* ]] || unacknowledged=$((unacknowledged + 1))
    sleep 1
done
restart_ended

looping=0
for number in 1 2 3; do
    exits=${EXITS[core-$number]:-0}
    note "result: core-$number ended by itself $exits times"
    [ "$exits" -ge 3 ] && looping=$((looping + 1))
done
note "result: $unacknowledged calls of the operator without an ack"
if [ $((looping * 2)) -ge 3 ]; then
    note "result: the rule is broken: on $looping of 3 control VMs processes ended by themselves three times or more"
    exit 1
fi
note "result: the rule held"
exit 0
