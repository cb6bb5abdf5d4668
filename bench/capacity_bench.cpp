#include "bench/capacity_measure.h"

#include <algorithm>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include <glog/logging.h>

/// Measures the processor time per operation and the memory per row of the tables up to the required scale, and the size
/// of the messages, and prints them as Markdown tables. Arguments name the sections to run, such as "quota"; without
/// arguments, all sections run.
auto main(int argc, char **argv) -> int
{
    using namespace snipestream::bench;
    google::InitGoogleLogging(argv[0]);
    FLAGS_minloglevel = google::GLOG_ERROR;
    const std::vector<std::string> selectedSections(argv + 1, argv + argc);
    const std::pair<const char *, void (*)()> sections[] = {{"routing", benchRouting},  {"admission", benchAdmission}, {"quota", benchQuota},
                                                            {"leases", benchLeases},    {"config", benchConfig},       {"claims", benchClaims},
                                                            {"messages", benchMessages}};
    std::printf("Processor time in microseconds, median of five measurements; memory as bytes allocated.\n");
    for (const auto &[name, run] : sections) {
        if (selectedSections.empty() || std::find(selectedSections.begin(), selectedSections.end(), name) != selectedSections.end()) {
            run();
        }
    }
    return 0;
}
