set title 'Gap in writes after the primary falls silent'
set terminal svg size 800,420
set output 'failover-silent.svg'
set key outside bottom center horizontal
set xlabel 'seed'
set ylabel 'seconds'
set yrange [0:*]
set grid
$data0 << END
1 1.9559440559996801
2 1.7583486849998735
3 1.272747766000066
END
plot $data0 using 1:2 with linespoints title 'gap'
