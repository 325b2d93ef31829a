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

constexpr double lowestSeconds = 0.0001;
constexpr double highestSeconds = 100.0;
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
    explicit Bins(unsigned count)
        : counts(std::tuple(LogAxis(count, lowestSeconds, highestSeconds)))
    { }

    std::uint64_t at(int index) const { return static_cast<std::uint64_t>(this->counts.at(index)); }
    int size() const { return this->counts.axis().size(); }

    Counts counts;
};

DurationHistogram::DurationHistogram(unsigned binsPerDecade)
    : bins(std::make_unique<Bins>(binsPerDecade * decades))
{ }

DurationHistogram::DurationHistogram(const DurationHistogram &other)
    : bins(std::make_unique<Bins>(*other.bins)), total(other.total), summed(other.summed)
{ }

DurationHistogram::DurationHistogram(DurationHistogram &&other) noexcept = default;

DurationHistogram &DurationHistogram::operator=(DurationHistogram other) noexcept
{
    std::swap(this->bins, other.bins);
    std::swap(this->total, other.total);
    std::swap(this->summed, other.summed);
    return *this;
}

DurationHistogram::~DurationHistogram() = default;

void DurationHistogram::add(Duration duration)
{
    this->bins->counts(toSeconds(duration));
    ++this->total;
    this->summed += duration;
}

bool DurationHistogram::merge(const DurationHistogram &other)
{
    if (this->bins->size() != other.bins->size()) {
        return false;
    }
    this->bins->counts += other.bins->counts;
    this->total += other.total;
    this->summed += other.summed;
    return true;
}

Duration DurationHistogram::quantile(double part) const
{
    if (this->total == 0) {
        return {};
    }
    const auto wanted =
            static_cast<std::uint64_t>(std::ceil(part * static_cast<double>(this->total)));
    for (const CumulativeBin &bin : this->cumulative()) {
        if (bin.count >= wanted) {
            return bin.upTo;
        }
    }
    return fromSeconds(highestSeconds);
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
