#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace lagoondeck {

/// An identifier whose type keeps it from being mixed up with identifiers of another kind.
template <typename Tag, typename Rep>
struct StrongId
{
    Rep value {};

    StrongId() = default;
    explicit StrongId(Rep rep) : value(std::move(rep)) { }

    // clang-tidy mistakes the zero in the comparisons that the compiler derives for a null pointer.
    auto operator<=>(const StrongId &) const = default; // NOLINT(modernize-use-nullptr)
};

/// Identifies a query inside one instance; unique for the lifetime of the process.
using QueryId = StrongId<struct QueryTag, std::uint64_t>;
/// Identifies one sub-request to one target; unique for the lifetime of the process.
using AttemptId = StrongId<struct AttemptTag, std::uint64_t>;
/// Identifies one connection to one target; unique for the lifetime of the process.
using ConnectionId = StrongId<struct ConnectionTag, std::uint64_t>;
/// Identifies one operation on the key-value service; unique for the lifetime of the process.
using StoreOpId = StrongId<struct StoreOpTag, std::uint64_t>;
/// A shard's number within one snapshot of an index, from 0.
using ShardId = StrongId<struct ShardTag, std::uint32_t>;
/// The number of an index version, which increases with each new version.
using SnapshotVersion = StrongId<struct SnapshotTag, std::uint64_t>;
/// The number of a catalogue change. The first accepted change is 1, and each one adds 1.
using Revision = StrongId<struct RevisionTag, std::uint64_t>;
/// A target's name in the instance list.
using TargetId = StrongId<struct TargetTag, std::string>;
/// An entry instance's name in the instance list. An instance that replaces it has another name.
using InstanceId = StrongId<struct InstanceTag, std::string>;
/// The name of a service, for example "patterns". A service is one index that a set of targets
/// holds.
using ServiceName = StrongId<struct ServiceTag, std::string>;
/// A catalogue entry's name.
using EntryName = StrongId<struct EntryTag, std::string>;
/// The name that a caller gives itself in its queries.
using CallerName = StrongId<struct CallerTag, std::string>;
/// The id that the caller gave its request. It stays the same when the caller sends the request
/// again.
using RequestId = StrongId<struct RequestTag, std::string>;
/// A failure domain's name.
using FailureDomain = StrongId<struct FailureDomainTag, std::string>;
/// The name of a region, which holds one or more failure domains.
using Region = StrongId<struct RegionTag, std::string>;

} // namespace lagoondeck

template <typename Tag, typename Rep>
struct std::hash<lagoondeck::StrongId<Tag, Rep>>
{
    std::size_t operator()(const lagoondeck::StrongId<Tag, Rep> &id) const noexcept
    {
        return std::hash<Rep> {}(id.value);
    }
};
