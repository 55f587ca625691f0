#include "events/timelinepage.h"

namespace nutmegtide {

// The script writes every value with textContent or setAttribute, never as HTML.
const std::string_view TimelinePageHead = R"page(<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta http-equiv="Content-Security-Policy"
      content="default-src 'none'; style-src 'unsafe-inline'; script-src 'unsafe-inline'">
<title>Time line</title>
<style>
body { font: 14px/1.4 sans-serif; margin: 1em; color: #1b1f24; background: #fff; }
h1 { font-size: 1.3em; margin: 0 0 .4em; }
.warning { background: #fff3cd; border-left: 4px solid #b58105; padding: .3em .6em; margin: .2em 0; }
.gaprow { background: #fde8e8; border-left: 4px solid #c0392b; padding: .3em .6em; margin: .2em 0; }
form { margin: .8em 0; display: flex; flex-wrap: wrap; gap: 1em; align-items: center; }
#scroll { overflow: auto; max-height: 75vh; border: 1px solid #d0d7de; }
#lanes { display: grid; min-width: max-content; }
.head { position: sticky; top: 0; background: #f0f3f6; padding: .3em .6em; font-weight: bold;
        border-left: 1px solid #d0d7de; z-index: 2; }
.domain { background: #d8dee4; padding: .2em .6em; border-left: 1px solid #fff; }
.time { padding: .15em .6em; color: #57606a; font-variant-numeric: tabular-nums; white-space: nowrap;
        position: sticky; left: 0; background: #fff; z-index: 1; }
.head.corner { left: 0; z-index: 3; }
.cell { border-left: 1px solid #d0d7de; padding: .15em .4em; min-width: 11em; }
.gap { background: #fde8e8; }
.event { display: inline-block; border-radius: 4px; padding: 0 .5em; background: #ddf4ff;
         border: 1px solid #54aeff; cursor: pointer; white-space: nowrap; }
.event small { color: #57606a; }
.event.bad { background: #ffebe9; border-color: #ff8182; }
.event.good { background: #dafbe1; border-color: #4ac26b; }
.event.chosen { outline: 3px solid #1b1f24; }
.event.cause { outline: 3px solid #c0392b; }
.event.effect { outline: 3px dashed #c0392b; }
#details { white-space: pre-wrap; font-family: monospace; border: 1px solid #d0d7de; padding: .5em;
           margin-top: .6em; min-height: 7em; }
</style>
</head>
<body>
<h1>Time line</h1>
<div id="notes"></div>
<form id="filters">
<label>Database <select id="database"></select></label>
<label>Term <select id="term"></select></label>
<label>Request id <input id="request" size="24" placeholder="whole or part"></label>
<span id="count"></span>
</form>
<div id="scroll"><div id="lanes"></div></div>
<div id="details">Point at an event for its details; click it to keep them. Red outline: its cause;
dashed: what it caused.</div>
<script id="data" type="application/json">)page";

const std::string_view TimelinePageTail = R"page(</script>
<script>
'use strict';
const data = JSON.parse(document.getElementById('data').textContent);
const byId = new Map(data.events.map(event => [event.id, event]));
const element = id => document.getElementById(id);
const seconds = us => (us / 1e6).toFixed(3) + ' s';
const bad = new Set(['server_lost', 'primary_suspected', 'primary_change_failed', 'write_unknown',
    'statement_refused', 'transaction_lost', 'config_conflict', 'member_suspected', 'member_dead']);
const good = new Set(['primary_published', 'primary_promoted', 'config_in_force', 'member_joined',
    'power_confirmed', 'node_started', 'control_leader']);
let pinned = null;

function add(parent, tag, name, text) {
    const child = document.createElement(tag);
    if (name) child.className = name;
    if (text !== undefined) child.textContent = text;
    parent.appendChild(child);
    return child;
}

function showNotes() {
    const notes = element('notes');
    for (const row of data.unreachable)
        add(notes, 'div', 'warning', 'Unreachable: ' + row.vm + ' (' + row.reason + ')');
    for (const row of data.dropped)
        add(notes, 'div', 'warning', row.vm + ' dropped ' + row.count + ' older events');
    for (const gap of data.gaps)
        add(notes, 'div', 'gaprow', gap.database + ' was without a primary for '
            + seconds(gap.microseconds) + (gap.end ? '' : ', and still is'));
}

function fillChoices(select, values) {
    add(select, 'option', '', 'all').value = '';
    for (const value of [...new Set(values)].sort((a, b) => a < b ? -1 : 1))
        add(select, 'option', '', String(value)).value = String(value);
}

function lanesOf(events) {
    const lanes = new Map();
    for (const event of events)
        lanes.set(event.vm, event.failure_domain);
    return [...lanes].map(([vm, domain]) => ({vm, domain}))
        .sort((a, b) => (a.domain + '\0' + a.vm) < (b.domain + '\0' + b.vm) ? -1 : 1);
}

function isShown(event) {
    const database = element('database').value;
    const term = element('term').value;
    const request = element('request').value;
    return (!database || event.database === database) && (!term || String(event.term) === term)
        && (!request || event.request_id.includes(request));
}

// Marks, for each event of the whole order, the gaps that it lies in.
function gapsByEvent() {
    const open = new Map(), result = new Map();
    for (const event of data.events) {
        for (const gap of data.gaps)
            if (gap.begin === event.id) open.set(gap.begin, gap);
        result.set(event, [...open.values()]);
        for (const gap of data.gaps)
            if (gap.end && gap.end === event.id) open.delete(gap.begin);
    }
    return result;
}
const gaps = gapsByEvent();

function describe(event) {
    const lines = [event.kind + ' on ' + event.vm + ' (' + event.failure_domain + ')',
        'time      ' + timeText(event) + ' +' + event.logical];
    for (const [label, value] of [['database', event.database], ['term', event.term || ''],
        ['request', event.request_id], ['id', event.id], ['cause', event.cause]])
        if (value !== '') lines.push(label.padEnd(10) + value);
    for (const [key, value] of Object.entries(event.details))
        lines.push('  ' + key + ' = ' + value);
    const cause = byId.get(event.cause);
    if (cause) lines.push('', 'caused by ' + cause.kind + ' on ' + cause.vm);
    return lines.join('\n');
}

function timeText(event) {
    const date = new Date(event.physical_us / 1000);
    return isNaN(date) ? event.physical_us + ' us' : date.toISOString();
}

function highlight(event) {
    element('details').textContent = describe(event);
    for (const mark of document.querySelectorAll('.event')) {
        const other = mark.timelineEvent;
        mark.classList.toggle('chosen', other === event);
        mark.classList.toggle('cause', event.cause !== '' && other.id === event.cause);
        mark.classList.toggle('effect', other.cause !== '' && other.cause === event.id);
    }
}

function addEvent(cell, event) {
    const kind = bad.has(event.kind) ? ' bad' : good.has(event.kind) ? ' good' : '';
    const mark = add(cell, 'span', 'event' + kind, event.kind + ' ');
    const about = [event.database, event.term ? 'term ' + event.term : '', event.request_id];
    add(mark, 'small', '', about.filter(text => text).join(' · '));
    mark.title = describe(event);
    mark.timelineEvent = event;
    mark.onmouseenter = () => { if (!pinned) highlight(event); };
    mark.onclick = () => { pinned = pinned === event ? null : event; highlight(event); };
}

function draw() {
    const grid = element('lanes');
    const shown = data.events.filter(isShown);
    const lanes = lanesOf(shown);
    grid.textContent = '';
    grid.style.gridTemplateColumns = 'max-content repeat(' + lanes.length + ', max-content)';
    add(grid, 'div', 'domain', '');
    for (const domain of new Set(lanes.map(lane => lane.domain))) {
        const width = lanes.filter(lane => lane.domain === domain).length;
        add(grid, 'div', 'domain', 'Failure domain ' + domain).style.gridColumn = 'span ' + width;
    }
    add(grid, 'div', 'head corner', 'Time (UTC)');
    for (const lane of lanes)
        add(grid, 'div', 'head', lane.vm);
    for (const event of shown) {
        const inGap = gaps.get(event).filter(gap => !element('database').value
            || gap.database === element('database').value);
        const shade = inGap.length ? ' gap' : '';
        const time = add(grid, 'div', 'time' + shade, timeText(event).slice(11));
        time.title = timeText(event) + inGap.map(gap => '\nno primary: ' + gap.database + ', '
            + seconds(gap.microseconds)).join('');
        for (const gap of inGap)
            if (gap.begin === event.id) add(time, 'div', '', gap.database + ': ' + seconds(gap.microseconds));
        for (const lane of lanes) {
            const cell = add(grid, 'div', 'cell' + shade);
            if (lane.vm === event.vm) addEvent(cell, event);
        }
    }
    element('count').textContent = shown.length + ' of ' + data.events.length + ' events';
}

showNotes();
fillChoices(element('database'), data.events.map(event => event.database).filter(text => text));
fillChoices(element('term'), data.events.map(event => event.term).filter(term => term));
element('filters').onsubmit = () => false;
element('filters').oninput = draw;
draw();
</script>
</body>
</html>
)page";

} // namespace nutmegtide
