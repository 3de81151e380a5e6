set title 'Time until control takes changes after its leader is killed'
set terminal svg size 800,420
set output 'control-failover.svg'
set key outside bottom center horizontal
set xlabel 'seed'
set ylabel 's'
set yrange [0:*]
set grid
$data0 << END
1 0.4729213020000316
2 0.5165045670000836
3 0.5053340509998634
4 0.5305052879998584
5 0.31319723200022054
END
plot $data0 using 1:2 with linespoints title 'time'
