#include "log_check.h"

int main(int argc, char **argv)
{
    return waxwing::runLogCheck(argc, argv);
}
