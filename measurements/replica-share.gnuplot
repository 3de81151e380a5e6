set title 'Share of reads served by replicas'
set terminal svg size 800,420
set output 'replica-share.svg'
set key outside bottom center horizontal
set xlabel 'seed'
set ylabel 'share'
set yrange [0:*]
set grid
$data0 << END
1 0.9823529411764705
2 0.9853249475890985
3 0.9880191693290735
4 0.9776654024441636
5 0.9870401337792643
END
$data1 << END
1 0.0
2 0.0
3 0.0
4 0.0
5 0.0
END
plot $data0 using 1:2 with linespoints title 'replicas', $data1 using 1:2 with linespoints title 'primary'
