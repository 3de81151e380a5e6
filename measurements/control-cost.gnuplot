set title 'Processor time of an idle proxy'
set terminal svg size 800,420
set output 'control-cost.svg'
set key outside bottom center horizontal
set xlabel 'measurement'
set ylabel '% of a core'
set yrange [0:*]
set grid
$data0 << END
0 1.3
1 0.7000000000000001
2 0.8
3 1.2000000000000002
4 0.7999999999999998
5 0.7
6 1.3999999999999995
7 0.7000000000000001
8 0.8000000000000002
9 1.4000000000000001
10 0.9000000000000002
11 0.8000000000000002
12 1.4000000000000001
13 0.6999999999999995
14 0.8999999999999998
END
plot $data0 using 1:2 with points title 'cpu'
