set title 'Gap in writes at a planned switchover'
set terminal svg size 800,420
set output 'switchover.svg'
set key outside bottom center horizontal
set xlabel 'seed'
set ylabel 'ms'
set yrange [0:*]
set grid
$data0 << END
1 277.481802
2 235.074744
3 197.34119
4 162.520274
5 146.82375
END
plot $data0 using 1:2 with linespoints title 'gap'
