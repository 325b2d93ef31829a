#pragma once

#include "core/ids.h"
#include "core/outcome.h"

#include <optional>
#include <string>
#include <string_view>

namespace lagoondeck {

/// A claim as stored: which instance may send the request, and the request's outcome.
struct ClaimRecord
{
    InstanceId instance;
    /// Globally unique. Distinguishes claims of the same instance.
    std::string claimId;
    /// The request's outcome, once known. Empty while the request may still run.
    std::optional<Outcome> outcome;

    bool operator==(const ClaimRecord &) const = default;
};

/// Returns the store key of the claim for a caller's request.
std::string claimKey(const CallerName &caller, const RequestId &request);

std::string writeClaim(const ClaimRecord &record);

/// Returns nullopt when the text is not a valid claim. Such a key still counts as claimed by
/// another instance.
std::optional<ClaimRecord> parseClaim(std::string_view text);

} // namespace lagoondeck
