#include "bench/capacity_measure.h"

#include <cstdio>

#include <glog/logging.h>

/// Measures processor time per operation and memory per row of the tables up to the required scale, and the sizes of
/// the messages. Prints Markdown.
auto main(int, char **argv) -> int
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_minloglevel = google::GLOG_ERROR;
    std::printf("Processor time in microseconds, median of five measurements; memory as bytes allocated.\n");
    snipestream::bench::benchRouting();
    snipestream::bench::benchAdmission();
    snipestream::bench::benchQuota();
    snipestream::bench::benchLeases();
    snipestream::bench::benchConfig();
    snipestream::bench::benchClaims();
    snipestream::bench::benchMessages();
    return 0;
}
