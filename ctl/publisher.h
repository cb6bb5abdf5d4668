#pragma once

#include "config/change.h"
#include "config/fold.h"
#include "core/result.h"
#include "ctl/context.h"

#include <cstdint>
#include <string>

namespace snipestream
{

/// Reads the configuration in force from the log.
auto readInForce(const CtlContext &context) -> Result<ConfigFold>;

/// Verdict on a change, as determined by its place on the log.
struct PublishResult {
    ChangeVerdict verdict = ChangeVerdict::Applied;
    uint64_t offset = 0;
    /// Revision in force after the change's record.
    uint64_t revision = 0;
    std::string detail;
};

/// Appends a change and reads the log until its verdict is known. If a response is lost, the log is read first, and the
/// record is appended again with the same change id only if it is not there; a second copy would be ignored as a
/// duplicate. `fold` is brought up to date. Errors: those of the log once `timeout` has passed; the change may still
/// come into force later, and the message contains the change id.
auto publishChange(const CtlContext &context, ConfigFold &fold, const ChangeRecord &change, Duration timeout) -> Result<PublishResult>;

} // namespace snipestream
