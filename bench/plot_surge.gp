# Plots the goodput of one surge under three kinds of admission, from the time
# series of `sesamespread load`. bench/bench.cc sets the variables.
set terminal svg size 760,380 background rgb 'white'
set output out
set datafile separator ','
set datafile commentschars '#'
set key outside bottom center horizontal
set title 'Goodput, '.name
set xlabel 'time, s'
set ylabel 'requests in time per second'
set yrange [0:]
set grid
set object rectangle from from, graph 0 to to, graph 1 \
    fillcolor rgb '#f6dddd' fillstyle solid noborder behind
set label 'offered: 3 times capacity' at (from + to) / 2.0, graph 0.96 center
# One point per second; the noise of intervals of 100 ms hides the level.
plot adaptive using (floor($1)):(column('in_time')) smooth frequency \
         with lines linewidth 2 linecolor rgb '#006d2c' title 'adaptive', \
     fixed using (floor($1)):(column('in_time')) smooth frequency \
         with lines linewidth 2 linecolor rgb '#2b6cb0' title 'fixed limit', \
     none using (floor($1)):(column('in_time')) smooth frequency \
         with lines linewidth 2 linecolor rgb '#b00020' title 'no control'
