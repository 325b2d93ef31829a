#!/usr/bin/env bash
# Plots the latency distribution of each scenario and the rates over time of each crest as PNG files.
# Usage: bench/plot.sh FOLDER, with the files that run_bench.sh wrote for seed 1.
set -euo pipefail
cd "$1"
for baseline in *-baseline-1.distribution; do
    [ -e "$baseline" ] || exit 0
    name=${baseline%-baseline-1.distribution}
    [ -e "$name-full-1.distribution" ] || continue
    gnuplot <<PLOT
set terminal png size 900,540
set output "latency-$name.png"
set title "Latency of answers: $name"
set xlabel "milliseconds"; set ylabel "part of the answers"
set logscale x; set key bottom right; set grid
plot [1:2000] "$baseline" with lines lw 2 title "baseline", "$name-full-1.distribution" with lines lw 2 title "full"
PLOT
    case $name in *crest*) ;; *) continue ;; esac
    gnuplot <<PLOT
set terminal png size 900,540
set output "over-time-$name.png"
set title "Whole answers in time: $name"
set xlabel "seconds"; set ylabel "a second"
set key top left; set grid
plot "$name-full-1.timeline" using 1:2 with lines lw 1 title "offered", "$name-baseline-1.timeline" using 1:3 with lines lw 2 title "baseline", "$name-full-1.timeline" using 1:3 with lines lw 2 title "full"
PLOT
done
