#include "standins/load_report.h"

#include <cmath>

namespace lagoondeck {

void LoadReport::set(Duration lag, double scale)
{
    this->lag = lag;
    this->scale = scale;
}

void LoadReport::record(Instant now, std::uint32_t inFlight)
{
    this->history.emplace_back(now, inFlight);
    this->forget(now);
}

std::uint32_t LoadReport::reported(Instant now)
{
    this->forget(now);
    if (this->history.empty() || this->history.front().first > now - this->lag) {
        return 0;
    }
    return static_cast<std::uint32_t>(std::lround(this->history.front().second * this->scale));
}

void LoadReport::forget(Instant now)
{
    while (this->history.size() > 1 && this->history[1].first <= now - this->lag) {
        this->history.pop_front();
    }
}

} // namespace lagoondeck
