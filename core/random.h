#pragma once

#include "core/ids.h"

#include <cstdint>
#include <random>
#include <string>

namespace snipestream
{

/// Generator for decisions such as the choice among targets. It is passed to every component that draws random values,
/// so that a run can be reproduced from its seed.
using Random = std::mt19937_64;

/// Returns a random value from 0 to bound - 1; zero if bound is zero.
auto drawBelow(Random &random, uint64_t bound) -> uint64_t;

/// Returns a request id drawn from the generator.
auto drawRequestId(Random &random) -> RequestId;

/// Returns a seed from the operating system, for processes outside tests.
auto systemSeed() -> uint64_t;

/// Returns `bytes` random bytes from OpenSSL as hexadecimal digits; for keys, salts and request contexts, which must
/// not be predictable.
auto secureRandomHex(size_t bytes) -> std::string;

} // namespace snipestream
