#!/usr/bin/env bash
# Measures the slopes behind docs/CAPACITY.md: tables and plots go to out/slopes/.
set -euo pipefail
build=$1
out=out/slopes
mkdir -p "$out"
ulimit -n "$(ulimit -H -n)"
"$build/gossip_bench" | tee "$out/gossip.csv"
"$build/config_bench" | tee "$out/config.txt"
"$build/controllog_bench" | tee "$out/controllog.txt"
"$build/controllog_measure" | tee "$out/controllog_wallclock.txt"
"$build/slopes_measure" | tee "$out/node.csv"
"$build/load_measure" | tee "$out/load.txt"
sed -n '/^connections/,/^intervals/{/^[0-9]/p}' "$out/node.csv" > "$out/connections.csv"
sed -n 's/^today,//p' "$out/node.csv" > "$out/groups.csv"
sed -n 's/^large,//p' "$out/node.csv" > "$out/groups_large.csv"
gnuplot << PLOT
set datafile separator ","
set terminal pngcairo size 1000,900
set output "$out/slopes.png"
set multiplot layout 2,2
set key left
set title "gossip"; set xlabel "members"; set ylabel "bytes a second and node"
plot "$out/gossip.csv" every ::1 using 1:2 with linespoints title "steady"
set title "caller connections"; set xlabel "connections"; set ylabel "resident KiB"
plot "$out/connections.csv" using 1:2 with linespoints notitle
set title "home of database groups"; set xlabel "groups"; set ylabel "% of a core"
plot "$out/groups.csv" using 1:2 with linespoints title "idle", \
     "$out/groups.csv" using 1:3 with linespoints title "a write a second each", \
     "$out/groups_large.csv" using 1:2 with linespoints title "idle, intervals of the large size"
set title "home of database groups"; set ylabel "resident KiB"
plot "$out/groups.csv" using 1:4 with linespoints notitle
unset multiplot
PLOT
echo "plot: $out/slopes.png"
