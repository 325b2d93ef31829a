#pragma once

#include "core/ids.h"
#include "core/outcome.h"

#include <optional>
#include <string>
#include <string_view>

namespace lagoondeck {

/// One claim as it stands in the store: who may send the request, and what came of it.
struct ClaimRecord
{
    InstanceId instance;
    /// Unique among all claims ever made; tells a claim from another of the same instance.
    std::string claimId;
    /// What came of the request, once known. Empty while it may still run.
    std::optional<Outcome> outcome;

    bool operator==(const ClaimRecord &) const = default;
};

/// The store's key of the claim of one caller's request.
std::string claimKey(const CallerName &caller, const RequestId &request);

std::string writeClaim(const ClaimRecord &record);

/// Empty when the text is no claim; such a key still counts as claimed by somebody else.
std::optional<ClaimRecord> parseClaim(std::string_view text);

} // namespace lagoondeck
