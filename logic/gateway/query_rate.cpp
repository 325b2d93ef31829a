#include "logic/gateway/query_rate.h"

namespace lagoondeck {

namespace {

constexpr std::chrono::seconds window {4};
/// Limits the memory. An instance with more queries than this in the window has enough of them.
constexpr std::size_t maxArrivals = 256;

} // namespace

void QueryRate::add(Instant now)
{
    this->removeExpired(now);
    this->arrivals.push_back(now);
    if (this->arrivals.size() > maxArrivals) {
        this->arrivals.pop_front();
    }
}

double QueryRate::perSecond(Instant now)
{
    this->removeExpired(now);
    return static_cast<double>(this->arrivals.size()) / static_cast<double>(window.count());
}

void QueryRate::removeExpired(Instant now)
{
    while (!this->arrivals.empty() && now - this->arrivals.front() > window) {
        this->arrivals.pop_front();
    }
}

} // namespace lagoondeck
