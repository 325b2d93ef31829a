#pragma once

#include "core/time.h"

namespace lagoondeck {

/// Learns how fast the store answers, and derives how long to wait for an answer on a connection
/// that may be dead. A dead connection must be noticed soon, because nothing is learned from the
/// store meanwhile. A slow store must not be taken for one.
class StoreAnswerTime
{
public:
    /// Records the time that the store took for an answer, without the time that it waited for a
    /// change.
    void onAnswered(Duration time) { this->latest = time; }
    /// Returns how long to wait for an answer on a kept connection, at most `limit`.
    Duration keptConnectionTimeout(Duration limit) const;

private:
    Duration latest {};
};

} // namespace lagoondeck
