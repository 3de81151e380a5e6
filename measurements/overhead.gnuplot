set title 'Latency through the proxy minus direct, 460 statements/s, 2,600 connections'
set terminal svg size 800,420
set output 'overhead.svg'
set key outside bottom center horizontal
set xlabel 'seed'
set ylabel 'ms'
set yrange [0:*]
set grid
$data0 << END
1 0.34425000000000006
2 0.3575450000000001
3 0.3885599999999999
4 0.41165299999999994
5 0.4007639999999999
END
$data1 << END
1 2.9634169999999997
2 2.775618
3 2.978664
4 8.068719000000002
5 3.284402
END
plot $data0 using 1:2 with linespoints title 'p50', $data1 using 1:2 with linespoints title 'p99'
