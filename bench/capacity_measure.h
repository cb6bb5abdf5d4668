#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace snipestream::bench
{

/// Returns the processor time of one call of `run` in microseconds: the median of five measurements, each of which calls
/// it repeatedly for about 20 ms.
auto microsPerRun(const std::function<void()> &run) -> double;

/// Returns the processor time of `run` in microseconds, measured over a single call.
auto microsOnce(const std::function<void()> &run) -> double;

/// Returns the bytes that the process has allocated and not freed.
auto allocatedBytes() -> double;

/// Returns the size of a message on a peer link, without the envelope of the frame.
auto cborBytes(const nlohmann::json &message) -> size_t;

/// Prints the title and the header row of a Markdown table.
void printHead(const char *title, const std::vector<std::string> &columns);

/// Prints a row of a Markdown table.
void printRow(const std::vector<std::string> &cells);

/// Formats the value with three significant digits.
auto formatNumber(double value) -> std::string;

/// Run one section of the benchmark each and print its tables.
void benchRouting();
void benchAdmission();
void benchQuota();
void benchLeases();
void benchConfig();
void benchClaims();
void benchMessages();

} // namespace snipestream::bench
