set title 'Latency through the proxy minus direct, 460 statements/s, 2,600 connections'
set terminal svg size 800,420
set output 'overhead.svg'
set key outside bottom center horizontal
set xlabel 'seed'
set ylabel 'ms'
set yrange [0:*]
set grid
$data0 << END
1 0.38474200000000003
2 0.39795900000000006
3 0.3752429999999999
4 0.34613099999999997
5 0.35149700000000006
END
$data1 << END
1 4.881429000000001
2 4.637962000000001
3 4.320141
4 4.153583
5 3.6545929999999998
END
plot $data0 using 1:2 with linespoints title 'p50', $data1 using 1:2 with linespoints title 'p99'
