#pragma once

#include "core/time.h"

#include <optional>

namespace lagoondeck {

/// How a target's limit changed.
enum class LimitChange {
    None,
    Begun,
    Changed,
    Ended,
};

/// What this instance knows of the request rate that one target takes from the whole fleet.
///
/// A target in need states its limit in its replies, for as long as it is in need.
class TargetLimit
{
public:
    /// Called for each reply of the target. `perSecond` is empty if the reply states no limit.
    LimitChange onStated(std::optional<double> perSecond, Instant now);
    /// Returns the limit of the whole fleet in requests per second, or nothing if there is none.
    std::optional<double> perSecond(Instant now) const;
    /// Returns when the present limit began.
    Instant begunAt() const { return this->begun; }

private:
    LimitChange set(std::optional<double> perSecond, Instant now);

    std::optional<double> limit;
    Instant begun {};
    /// When the limit was stated last.
    Instant confirmedAt {};
};

} // namespace lagoondeck
