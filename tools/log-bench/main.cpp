#include "log_bench.h"

int main(int argc, char **argv)
{
    return waxwing::runLogBench(argc, argv);
}
