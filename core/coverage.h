#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace lagoondeck {

/// Why a needed shard is missing from an answer.
enum class MissingReason {
    DeadlinePassed,  ///< No reply arrived before the query's deadline.
    NoTarget,        ///< No live target serves the shard at the snapshot.
    TargetsLost,     ///< Every attempt's target was lost.
    TargetsShed,     ///< Every attempt was refused by an overloaded target.
    SnapshotRetired, ///< The shard no longer serves the snapshot.
    TargetFailed,    ///< A target ran the sub-request and replied with an error.
    Withdrawn,       ///< The attempt was withdrawn because the query ended.
};

/// Returns the reason's name in answers, for example "deadline-passed".
std::string_view toString(MissingReason reason);

/// A needed shard that is missing from the answer.
struct MissingShard
{
    ShardId shard;
    MissingReason reason = MissingReason::DeadlinePassed;

    bool operator==(const MissingShard &) const = default;
};

/// How much of the data an answer covers. shardsNeeded always equals shardsAnswered +
/// missing.size().
struct Coverage
{
    SnapshotVersion snapshot;
    std::uint32_t shardsNeeded = 0;
    std::uint32_t shardsAnswered = 0;
    /// The number of documents in the answering shards. Shards whose targets don't report it count
    /// as zero.
    std::uint64_t documentsAnswered = 0;
    std::vector<MissingShard> missing;

    /// Returns the fraction of the needed shards that answered, 0 to 1.
    double fraction() const
    {
        return this->shardsNeeded == 0
                ? 0.0
                : static_cast<double>(this->shardsAnswered) / this->shardsNeeded;
    }
};

} // namespace lagoondeck
