#pragma once

#include "core/time.h"

#include <cstddef>
#include <deque>

namespace lagoondeck {

/// The number of queries per second over the last few seconds.
class QueryRate
{
public:
    void add(Instant now);
    double perSecond(Instant now);

private:
    void removeExpired(Instant now);

    std::deque<Instant> arrivals;
};

} // namespace lagoondeck
