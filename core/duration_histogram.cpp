#include "core/duration_histogram.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cmath>
#include <tuple>
#include <utility>

namespace lagoondeck {

namespace {

namespace bh = boost::histogram;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Counts = bh::histogram<std::tuple<LogAxis>, bh::unlimited_storage<>>;

constexpr double minSeconds = 0.0001;
constexpr double maxSeconds = 100.0;
constexpr unsigned decades = 6;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double seconds)
{
    return std::chrono::round<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

struct DurationHistogram::Bins
{
    explicit Bins(unsigned count) : counts(std::tuple(LogAxis(count, minSeconds, maxSeconds))) { }

    std::uint64_t at(int index) const { return static_cast<std::uint64_t>(this->counts.at(index)); }
    int size() const { return this->counts.axis().size(); }

    Counts counts;
};

DurationHistogram::DurationHistogram(unsigned binsPerDecade)
    : bins(std::make_unique<Bins>(binsPerDecade * decades))
{ }

DurationHistogram::DurationHistogram(const DurationHistogram &other)
    : bins(std::make_unique<Bins>(*other.bins)), totalCount(other.totalCount),
      totalDuration(other.totalDuration)
{ }

DurationHistogram::DurationHistogram(DurationHistogram &&other) noexcept = default;

DurationHistogram &DurationHistogram::operator=(DurationHistogram other) noexcept
{
    std::swap(this->bins, other.bins);
    std::swap(this->totalCount, other.totalCount);
    std::swap(this->totalDuration, other.totalDuration);
    return *this;
}

DurationHistogram::~DurationHistogram() = default;

void DurationHistogram::add(Duration duration)
{
    this->bins->counts(toSeconds(duration));
    ++this->totalCount;
    this->totalDuration += duration;
}

bool DurationHistogram::merge(const DurationHistogram &other)
{
    if (this->bins->size() != other.bins->size()) {
        return false;
    }
    this->bins->counts += other.bins->counts;
    this->totalCount += other.totalCount;
    this->totalDuration += other.totalDuration;
    return true;
}

Duration DurationHistogram::quantile(double fraction) const
{
    if (this->totalCount == 0) {
        return {};
    }
    const auto neededCount =
            static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(this->totalCount)));
    for (const CumulativeBin &bin : this->cumulative()) {
        if (bin.count >= neededCount) {
            return bin.upperBound;
        }
    }
    return fromSeconds(maxSeconds);
}

std::vector<DurationHistogram::CumulativeBin> DurationHistogram::cumulative() const
{
    std::vector<CumulativeBin> result;
    std::uint64_t count = 0;
    for (int i = -1; i < this->bins->size(); ++i) {
        count += this->bins->at(i);
        result.push_back({fromSeconds(this->bins->counts.axis().bin(i).upper()), count});
    }
    return result;
}

} // namespace lagoondeck
