#pragma once

#include "core/time.h"

#include <cstddef>

namespace lagoondeck {

/// One holder's share of a cold target's limit, as the parameters of a token bucket.
struct ColdShare
{
    double perSecond = 0.0;
    double capacity = 0.0;
};

/// Returns among how many members the limit of a cold target is divided at most.
///
/// Each holder must be able to keep a whole request, and all of them together may send what they
/// keep at once. The number depends on the limit alone, so that members that know different fleets
/// still use equal shares.
std::size_t coldHolderCount(double limit);

/// Returns the share of one of `holders` that were chosen among `candidates` members. `stated` is
/// the limit that the target states at the same time if that is the smaller one; otherwise `limit`.
ColdShare coldShare(double limit, double stated, std::size_t holders, std::size_t candidates);

/// A loan of a request at a cold target is used up within this time, counted from when it was
/// requested until it arrived, and from then on. A loan moves a request from the time of the lender
/// to that of the borrower, so this time counts against the limit. Parts wait 25 ms for a loan.
inline constexpr Duration maxColdLoanDelay = std::chrono::milliseconds(50);
inline constexpr Duration coldLoanLifetime = std::chrono::milliseconds(50);

} // namespace lagoondeck
