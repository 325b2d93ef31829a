#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace lagoondeck {

/// Counts of durations in bins of equal width on a logarithmic axis. Histograms of one resolution
/// can be merged, so that those of several instances or classes add up.
class DurationHistogram
{
public:
    /// One bin with all durations up to a bound, as the exposition format counts them.
    struct CumulativeBin
    {
        Duration upTo {};
        std::uint64_t count = 0;
    };

    explicit DurationHistogram(unsigned binsPerDecade);
    DurationHistogram(const DurationHistogram &other);
    DurationHistogram(DurationHistogram &&other) noexcept;
    DurationHistogram &operator=(DurationHistogram other) noexcept;
    ~DurationHistogram();

    void add(Duration duration);
    /// Adds the counts of another histogram; false when its resolution differs.
    bool merge(const DurationHistogram &other);

    std::uint64_t count() const { return this->total; }
    Duration sum() const { return this->summed; }
    /// The upper bound of the bin in which the part of the durations is reached; zero when empty.
    Duration quantile(double part) const;
    /// All bins but the one without an upper bound, whose count is count().
    std::vector<CumulativeBin> cumulative() const;

private:
    struct Bins;

    std::unique_ptr<Bins> bins;
    std::uint64_t total = 0;
    Duration summed {};
};

} // namespace lagoondeck
