set title 'Share of reads served by replicas'
set terminal svg size 800,420
set output 'replica-share.svg'
set key outside bottom center horizontal
set xlabel 'seed'
set ylabel 'share'
set yrange [0:*]
set grid
$data0 << END
1 0.9100840336134454
2 0.8972746331236897
3 0.9033546325878594
4 0.9093973872734935
5 0.9239130434782609
END
$data1 << END
1 0.0
2 0.0
3 0.0
4 0.0
5 0.0
END
plot $data0 using 1:2 with linespoints title 'replicas', $data1 using 1:2 with linespoints title 'primary'
