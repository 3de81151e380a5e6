set title 'Weighted service on time at 3 times capacity, relative to a clairvoyant schedule'
set terminal svg size 800,420
set output 'crest.svg'
set key outside bottom center horizontal
set xlabel 'seed'
set ylabel 'ratio'
set yrange [0:*]
set grid
$data0 << END
1 0.9134781772736013
2 0.9106489505103024
3 0.9229727114379718
4 0.9108378170637971
5 0.9195979899497487
END
$data1 << END
1 0.1347817727360123
2 0.1322934719815136
3 0.13179794851945037
4 0.13854727132974634
5 0.13239273289524545
END
plot $data0 using 1:2 with linespoints title 'deadline', $data1 using 1:2 with linespoints title 'baseline'
