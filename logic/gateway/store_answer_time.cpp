#include "logic/gateway/store_answer_time.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// Many times the answer time of a store without trouble.
constexpr Duration minTimeout = std::chrono::milliseconds(500);
/// An answer may take this many times as long as the latest one.
constexpr int slowdownFactor = 3;

} // namespace

Duration StoreAnswerTime::keptConnectionTimeout(Duration limit) const
{
    return std::min(std::max<Duration>(this->latest * slowdownFactor, minTimeout), limit);
}

} // namespace lagoondeck
