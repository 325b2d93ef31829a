#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lagoondeck {

/// A key with its value and the store revision of its last write.
struct StoreKeyValue
{
    std::string key;
    std::string value;
    std::uint64_t modRevision = 0;
    /// The store revision at which the key was created.
    std::uint64_t createRevision = 0;

    bool operator==(const StoreKeyValue &) const = default;
};

/// Reads the keys in [key, rangeEnd). When rangeEnd is empty, reads only the given key.
struct StoreRange
{
    std::string key;
    std::string rangeEnd;
};

/// A condition of a transaction: the store revision of the key's last write must equal modRevision.
/// A modRevision of 0 means that the key must not exist.
struct StoreCompare
{
    std::string key;
    std::uint64_t modRevision = 0;
};

/// A write inside a transaction.
struct StorePut
{
    std::string key;
    std::string value;
    /// The lease that the key is bound to; 0 for none.
    std::int64_t lease = 0;
};

/// A compare-and-swap. When all comparisons succeed, the puts and deletes are executed, otherwise
/// the reads.
struct StoreTransaction
{
    std::vector<StoreCompare> compares;
    std::vector<StorePut> puts;
    std::vector<std::string> deletes;
    std::vector<StoreRange> readsOnFailure;
};

/// Grants a lease; keys bound to it are deleted when it ends.
struct StoreLeaseGrant
{
    Duration timeToLive {};
};

/// Watches the keys in [key, rangeEnd) from a store revision on. A watch counts as one open call.
struct StoreWatch
{
    std::string key;
    std::string rangeEnd;
    std::uint64_t fromRevision = 0;
};

using StoreRequest = std::variant<StoreRange, StoreTransaction, StoreLeaseGrant, StoreWatch>;

/// How an operation ended, as far as its issuer can know.
enum class StoreStatus {
    Ok,
    Unavailable, ///< The request never reached the store: it had no effect.
    ReplyLost,   ///< The request may have taken effect.
    Malformed,   ///< The reply could not be read; the request may have taken effect.
};

} // namespace lagoondeck
