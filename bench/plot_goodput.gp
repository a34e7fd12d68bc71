# Plots the time series of `sesamespread load --csv`:
#   gnuplot -e "file='surge.csv'; out='surge.svg'" bench/plot_goodput.gp
# Vertical lines mark the disturbances.
if (!exists("file")) file = 'load.csv'
if (!exists("out")) out = 'load.svg'
set terminal svg size 900,600 background rgb 'white'
set output out
set datafile separator ','
set datafile commentschars '#'
set key autotitle columnhead outside bottom center horizontal
set xlabel 'time, s'
set grid
marks = system("sed -n 's/^# disturbance \\([0-9.]*\\) .*/\\1/p' ".file)
names = system("sed -n 's/^# disturbance [0-9.]* //p' ".file)
do for [i = 1:words(marks)] {
  set arrow i from first word(marks, i), graph 0 \
      to first word(marks, i), graph 1 nohead dashtype 2 linecolor rgb '#b00020'
  set label i word(names, i) at first word(marks, i), graph 0.97 offset 0.5,0
}
set multiplot layout 2,1
set ylabel 'requests per 100 ms'
plot file using 't_s':'offered' with lines linecolor rgb '#909090', \
     file using 't_s':'in_time' with lines linewidth 2 linecolor rgb '#006d2c', \
     file using 't_s':'repeats' with lines linecolor rgb '#e08214'
unset label
set ylabel 'latency of answers in time, ms'
set logscale y
plot file using 't_s':'p50_ms' with lines, \
     file using 't_s':'p99_ms' with lines
unset multiplot
