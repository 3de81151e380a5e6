set title 'Time until current after a restart with 10,000 changes'
set terminal svg size 800,420
set output 'restart.svg'
set key outside bottom center horizontal
set xlabel '1 = control, 2 = proxy'
set ylabel 's'
set yrange [0:*]
set grid
$data0 << END
1 0.5194497600000432
2 0.005135400000199297
END
plot $data0 using 1:2 with impulses title 'time'
