set title 'Processor time of an idle proxy'
set terminal svg size 800,420
set output 'control-cost.svg'
set key outside bottom center horizontal
set xlabel 'measurement'
set ylabel '% of a core'
set yrange [0:*]
set grid
$data0 << END
0 1.9
1 1.0999999999999999
2 0.9999999999999999
3 2.0
4 1.0
5 1.0
6 1.8999999999999997
7 1.2
8 1.0999999999999999
9 2.000000000000001
10 1.0999999999999999
11 1.0999999999999999
12 1.9000000000000006
13 1.0999999999999999
14 1.0999999999999999
END
plot $data0 using 1:2 with points title 'cpu'
