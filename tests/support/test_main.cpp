#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include <cppunit/Exception.h>
#include <cppunit/SourceLine.h>
#include <cppunit/Test.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestListener.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestSuite.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

namespace
{

/// Counts the results of the tests and prints each result as it arrives.
class ResultListener : public CppUnit::TestListener
{
public:
    explicit ResultListener(std::set<std::string> knownRed)
        : knownRed_(std::move(knownRed))
    {
    }

    void startTest(CppUnit::Test *test) override
    {
        currentFailed_ = false;
    }

    void addFailure(const CppUnit::TestFailure &failure) override
    {
        currentFailed_ = true;
        std::cout << "FAIL " << failure.failedTestName() << " at " << failure.sourceLine().fileName() << ":" << failure.sourceLine().lineNumber() << "\n"
                  << failure.thrownException()->message().shortDescription() << "\n"
                  << failure.thrownException()->message().details() << std::endl;
    }

    void endTest(CppUnit::Test *test) override
    {
        if (!currentFailed_) {
            ++passed;
            std::cout << "ok " << test->getName() << std::endl;
            return;
        }
        if (knownRed_.count(test->getName()) != 0) {
            ++knownRedCount;
            std::cout << "known red " << test->getName() << " (see KNOWN-RED.txt)" << std::endl;
            return;
        }
        ++failed;
    }

    int passed = 0;
    int failed = 0;
    int knownRedCount = 0;

private:
    std::set<std::string> knownRed_;
    bool currentFailed_ = false;
};

/// Reads the test names of KNOWN-RED.txt: the text before the first '|' of each line that is not a comment.
auto readKnownRed(const std::string &path) -> std::set<std::string>
{
    std::set<std::string> names;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        if (line.empty() || line.front() == '#') {
            continue;
        }
        std::string name = line.substr(0, line.find('|'));
        name.erase(name.find_last_not_of(" \t") + 1);
        names.insert(name);
    }
    return names;
}

void runMatching(CppUnit::Test *test, const std::string &filter, CppUnit::TestResult &result)
{
    if (test->getChildTestCount() == 0) {
        if (test->getName().find(filter) != std::string::npos) {
            test->run(&result);
        }
        return;
    }
    for (int i = 0; i < test->getChildTestCount(); ++i) {
        runMatching(test->getChildTestAt(i), filter, result);
    }
}

auto packageName(const std::string &program) -> std::string
{
    const std::string file = program.substr(program.find_last_of('/') + 1);
    return file.rfind("test_", 0) == 0 ? file.substr(5) : file;
}

} // namespace

/// Runs the tests of one package. Options: --only TEXT runs tests whose name contains TEXT; --known-red FILE names the
/// tests that may fail without failing the run. Property tests have a fixed seed unless RC_PARAMS is set.
auto main(int argc, char **argv) -> int
{
    std::string filter;
    std::string knownRedFile;
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    for (size_t i = 0; i + 1 < arguments.size(); i += 2) {
        if (arguments[i] == "--only") {
            filter = arguments[i + 1];
        } else if (arguments[i] == "--known-red") {
            knownRedFile = arguments[i + 1];
        } else {
            std::cerr << "unknown option " << arguments[i] << "\n";
            return 2;
        }
    }
    setenv("RC_PARAMS", "seed=20261204", 0);
    ResultListener results(readKnownRed(knownRedFile));
    CppUnit::TestResult result;
    result.addListener(&results);
    CppUnit::Test *suite = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
    runMatching(suite, filter, result);
    delete suite;
    std::cout << packageName(argv[0]) << ": " << results.passed << " ok, " << results.failed << " not ok, " << results.knownRedCount << " known red"
              << std::endl;
    return results.failed == 0 ? 0 : 1;
}
