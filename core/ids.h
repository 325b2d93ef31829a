#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace lagoondeck {

/// A value that names one kind of thing and can't be mixed up with another kind.
template <typename Tag, typename Rep>
struct StrongId
{
    Rep value {};

    StrongId() = default;
    explicit StrongId(Rep rep) : value(std::move(rep)) { }

    // The check takes the zero of the comparisons that the compiler derives for a null pointer.
    auto operator<=>(const StrongId &) const = default; // NOLINT(modernize-use-nullptr)
};

/// A query inside one instance; unique while the process lives.
using QueryId = StrongId<struct QueryTag, std::uint64_t>;
/// One sub-request sent to one target; unique while the process lives.
using AttemptId = StrongId<struct AttemptTag, std::uint64_t>;
/// One connection to one target; unique while the process lives.
using ConnectionId = StrongId<struct ConnectionTag, std::uint64_t>;
/// One operation on the key-value service; unique while the process lives.
using StoreOpId = StrongId<struct StoreOpTag, std::uint64_t>;
/// A shard's number within one snapshot of an index, from 0.
using ShardId = StrongId<struct ShardTag, std::uint32_t>;
/// The number of an index version; it grows with each new version.
using SnapshotVersion = StrongId<struct SnapshotTag, std::uint64_t>;
/// The number of accepted catalogue changes up to and with this one, from 1.
using Revision = StrongId<struct RevisionTag, std::uint64_t>;
/// A target's name in the instance list.
using TargetId = StrongId<struct TargetTag, std::string>;
/// An entry instance's name in the instance list; a replacement has another name.
using InstanceId = StrongId<struct InstanceTag, std::string>;
/// A service is one index that a set of targets holds, for example "patterns".
using ServiceName = StrongId<struct ServiceTag, std::string>;
/// A catalogue entry's name.
using EntryName = StrongId<struct EntryTag, std::string>;
/// Who sent the query, as the caller names itself.
using CallerName = StrongId<struct CallerTag, std::string>;
/// The caller's own id for a request; it stays the same when the caller sends it again.
using RequestId = StrongId<struct RequestTag, std::string>;
/// A failure domain's name.
using FailureDomain = StrongId<struct FailureDomainTag, std::string>;

} // namespace lagoondeck

template <typename Tag, typename Rep>
struct std::hash<lagoondeck::StrongId<Tag, Rep>>
{
    std::size_t operator()(const lagoondeck::StrongId<Tag, Rep> &id) const noexcept
    {
        return std::hash<Rep> {}(id.value);
    }
};
