#include "bench/capacity_measure.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>

#include <malloc.h>

#include <nlohmann/json.hpp>

namespace snipestream::bench
{

namespace
{

auto cpuMicros() -> double
{
    timespec value{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
    return static_cast<double>(value.tv_sec) * 1e6 + static_cast<double>(value.tv_nsec) * 1e-3;
}

} // namespace

auto microsOnce(const std::function<void()> &run) -> double
{
    const double start = cpuMicros();
    run();
    return cpuMicros() - start;
}

auto microsPerRun(const std::function<void()> &run) -> double
{
    constexpr double kMeasurementMicros = 20e3;
    const double first = std::max(0.02, microsOnce(run));
    const int runs = std::max(1, static_cast<int>(kMeasurementMicros / first));
    std::array<double, 5> values{};
    for (double &value : values) {
        value = microsOnce([&] {
                    for (int i = 0; i < runs; ++i) {
                        run();
                    }
                })
            / runs;
    }
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

auto allocatedBytes() -> double
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

auto cborBytes(const nlohmann::json &message) -> size_t
{
    return nlohmann::json::to_cbor(message).size();
}

void printHead(const char *title, const std::vector<std::string> &columns)
{
    std::printf("\n### %s\n\n", title);
    printRow(columns);
    printRow(std::vector<std::string>(columns.size(), "---"));
}

void printRow(const std::vector<std::string> &cells)
{
    for (const auto &cell : cells) {
        std::printf("| %s ", cell.c_str());
    }
    std::printf("|\n");
    std::fflush(stdout);
}

auto formatNumber(double value) -> std::string
{
    std::array<char, 32> text{};
    if (value >= 1000) {
        std::snprintf(text.data(), text.size(), "%.0f", value);
    } else {
        std::snprintf(text.data(), text.size(), "%.3g", value);
    }
    return text.data();
}

} // namespace snipestream::bench
