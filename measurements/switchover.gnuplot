set title 'Gap in writes at a planned switchover'
set terminal svg size 800,420
set output 'switchover.svg'
set key outside bottom center horizontal
set xlabel 'seed'
set ylabel 'ms'
set yrange [0:*]
set grid
$data0 << END
1 273.341247
2 223.958434
3 198.860887
4 164.220327
5 145.849759
END
plot $data0 using 1:2 with linespoints title 'gap'
