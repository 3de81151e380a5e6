set title 'Weighted service on time at 3 times capacity, relative to a clairvoyant schedule'
set terminal svg size 800,420
set output 'crest.svg'
set key outside bottom center horizontal
set xlabel 'seed'
set ylabel 'ratio'
set yrange [0:*]
set grid
$data0 << END
1 0.4783695443184003
2 0.5008665511265165
3 0.5647377588542675
4 0.47232897770945426
5 0.46501739466563585
END
$data1 << END
1 0.1311286291097866
2 0.11804352012324283
3 0.10915424811302496
4 0.11664104534973098
5 0.13780440664862775
END
plot $data0 using 1:2 with linespoints title 'deadline', $data1 using 1:2 with linespoints title 'baseline'
