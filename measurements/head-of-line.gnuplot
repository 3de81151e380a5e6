set title 'p99 of short statements with 5% long ones, relative to without'
set terminal svg size 800,420
set output 'head-of-line.svg'
set key outside bottom center horizontal
set xlabel 'seed'
set ylabel 'ratio'
set yrange [0:*]
set grid
$data0 << END
1 2.1505858755976606
2 1.251367160548219
3 1.1597187840214722
4 0.9511893333109014
5 2.01665540146836
END
$data1 << END
1 3.8371195492808896
2 2.4933774460119538
3 2.7767842896930928
4 2.144369328275686
5 4.3479072163968775
END
plot $data0 using 1:2 with linespoints title 'classes', $data1 using 1:2 with linespoints title 'fifo'
