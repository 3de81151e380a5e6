set title 'p99 of short statements with 5% long ones, relative to without'
set terminal svg size 800,420
set output 'head-of-line.svg'
set key outside bottom center horizontal
set xlabel 'seed'
set ylabel 'ratio'
set yrange [0:*]
set grid
$data0 << END
1 1.7524324230591382
2 5.719875375575186
3 0.4717486485078266
4 1.9938554827681445
5 1.6525068000585275
END
$data1 << END
1 4.863455346448794
2 1.5214655508403232
3 3.0459127981306593
4 3.1972588632877024
5 3.6078409070865347
END
plot $data0 using 1:2 with linespoints title 'classes', $data1 using 1:2 with linespoints title 'fifo'
