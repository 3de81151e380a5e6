#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <cstdio>
#include <iostream>

int main(int argc, char **argv)
{
    CppUnit::TestResult result;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    result.addListener(&collector);
    result.addListener(&progress);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(result, argc > 1 ? argv[1] : "");
    CppUnit::CompilerOutputter outputter(&collector, std::cerr);
    outputter.write();
    if (collector.runTests() == 0) {
        std::fprintf(stderr, "no test was run\n");
        return 1;
    }
    return collector.wasSuccessful() ? 0 : 1;
}
