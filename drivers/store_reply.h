#pragma once

#include "logic/store_operation.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoondeck {

/// What the key-value service replied to one call, or one batch of a watch.
struct StoreReply
{
    /// For a transaction: all compares held.
    bool succeeded = false;
    std::vector<StoreKeyValue> values;
    std::vector<std::string> deletedKeys;
    std::int64_t lease = 0;
    std::uint64_t storeRevision = 0;
    /// The service ended the watch with this batch.
    bool watchEnded = false;
};

/// A call on the key-value service did not succeed.
struct StoreFailure
{
    StoreStatus status = StoreStatus::Unavailable;
    std::string address;
    std::string detail;
};

} // namespace lagoondeck
