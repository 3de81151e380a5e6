set title 'Requests without a result during a planned stop of a proxy'
set terminal svg size 800,420
set output 'drain.svg'
set key outside bottom center horizontal
set xlabel 'seed'
set ylabel 'requests'
set yrange [0:*]
set grid
$data0 << END
1 0
2 0
3 0
4 0
5 0
6 0
7 0
8 0
9 0
10 0
11 0
12 0
13 0
14 0
15 0
16 0
17 0
18 0
19 0
20 0
END
plot $data0 using 1:2 with linespoints title 'cut'
