#pragma once

#include "core/time.h"
#include "logic/context.h"

#include <cstdint>

namespace lagoondeck {

/// How many queries of one service this instance may have in flight, adapted so that answers take
/// about half of their deadline. While they take longer the limit follows Little's law: a service
/// that answers at a fixed rate takes in proportion to what is in flight.
class ConcurrencyLimit
{
public:
    /// An answer took this part of its deadline, with so many queries in flight.
    void onAnswered(double partOfDeadline, std::uint32_t inFlight);
    /// A query missed its deadline, or was given up because the targets were overloaded.
    void onMissed(std::uint32_t inFlight);

    /// Whether one more fits under a part of the limit. The limit's fraction is a probability.
    bool allows(std::uint32_t inFlight, double part, RandomEngine &random) const;
    double value() const { return this->limit; }

private:
    void adapt(double partOfDeadline, std::uint32_t inFlight);

    double limit = 16.0;
    /// Moving average of the answers' parts of their deadlines.
    double recentPart = 0.0;
};

} // namespace lagoondeck
