set title 'Cores of one proxy by statements per second'
set terminal svg size 800,420
set output 'capacity.svg'
set key outside bottom center horizontal
set xlabel 'statements/s'
set ylabel 'cores'
set yrange [0:*]
set grid
$data0 << END
460 0.1774875795523111
1500 0.3699686522786512
4600 0.7799336726856078
END
plot $data0 using 1:2 with linespoints title 'cores'
