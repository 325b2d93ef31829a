#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace lagoondeck {

/// Counts durations in bins of equal width on a logarithmic axis. Histograms with the same
/// resolution can be merged, for example those of several instances or classes.
class DurationHistogram
{
public:
    /// The number of durations up to an upper bound, as the exposition format counts them.
    struct CumulativeBin
    {
        Duration upperBound {};
        std::uint64_t count = 0;
    };

    explicit DurationHistogram(unsigned binsPerDecade);
    DurationHistogram(const DurationHistogram &other);
    DurationHistogram(DurationHistogram &&other) noexcept;
    DurationHistogram &operator=(DurationHistogram other) noexcept;
    ~DurationHistogram();

    void add(Duration duration);
    /// Adds the counts of another histogram. Returns false when its resolution differs.
    bool merge(const DurationHistogram &other);

    std::uint64_t count() const { return this->totalCount; }
    Duration sum() const { return this->totalDuration; }
    /// Returns the upper bound of the first bin up to which at least the given fraction of the
    /// durations lies, or zero when the histogram is empty.
    Duration quantile(double fraction) const;
    /// Returns all bins except the one without an upper bound. The cumulative count of that one is
    /// count().
    std::vector<CumulativeBin> cumulative() const;

private:
    struct Bins;

    std::unique_ptr<Bins> bins;
    std::uint64_t totalCount = 0;
    Duration totalDuration {};
};

} // namespace lagoondeck
