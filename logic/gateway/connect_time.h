#pragma once

#include "core/time.h"

#include <optional>

namespace lagoondeck {

/// Learns how long connecting to targets takes, and derives when an attempt to connect is given up.
///
/// Nothing was sent on a connection that is not made, so giving it up early costs nothing but the
/// attempt. Waiting for longer rarely helps: a lost packet is sent again only after a second.
class ConnectTime
{
public:
    /// Called when a connection was made.
    void onConnected(Duration time);
    /// Returns how long to wait for a connection.
    Duration limit() const;

private:
    /// The smoothed time and its mean deviation; empty before the first connection.
    std::optional<Duration> average;
    Duration deviation {};
};

} // namespace lagoondeck
