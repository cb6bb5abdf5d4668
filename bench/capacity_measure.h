#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace snipestream::bench
{

/// Returns the processor time of one run in microseconds: the median of five measurements of about 20 ms each. `run` is
/// called many times.
auto microsPerRun(const std::function<void()> &run) -> double;

/// Returns the processor time of a single call in microseconds.
auto microsOnce(const std::function<void()> &run) -> double;

/// Returns the bytes that the process has allocated and not freed.
auto allocatedBytes() -> double;

/// Returns the size of a message on a peer link, without the envelope of the frame.
auto cborBytes(const nlohmann::json &message) -> size_t;

/// Prints the head of a Markdown table.
void printHead(const char *title, const std::vector<std::string> &columns);

/// Prints a row of a Markdown table.
void printRow(const std::vector<std::string> &cells);

/// Returns the value with three significant digits.
auto number(double value) -> std::string;

/// Sections of the benchmark; each prints its tables.
void benchRouting();
void benchAdmission();
void benchQuota();
void benchLeases();
void benchConfig();
void benchClaims();
void benchMessages();

} // namespace snipestream::bench
