set title 'Latency through the proxy minus direct, 460 statements/s, 2,600 connections'
set terminal svg size 800,420
set output 'overhead.svg'
set key outside bottom center horizontal
set xlabel 'seed'
set ylabel 'ms'
set yrange [0:*]
set grid
$data0 << END
1 0.363626
2 0.324013
3 0.33674000000000004
4 0.342842
5 0.40022499999999994
END
$data1 << END
1 2.3809500000000003
2 2.917375
3 1.9904130000000002
4 0.672334
5 0.4318719999999998
END
plot $data0 using 1:2 with linespoints title 'p50', $data1 using 1:2 with linespoints title 'p99'
