#pragma once

#include "logic/store_operation.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoondeck {

/// The key-value service's reply to one call, or one batch of a watch.
struct StoreReply
{
    /// For a transaction: whether all compares were true.
    bool succeeded = false;
    std::vector<StoreKeyValue> values;
    std::vector<std::string> deletedKeys;
    std::int64_t lease = 0;
    std::uint64_t storeRevision = 0;
    /// Whether the service ended the watch with this batch.
    bool watchEnded = false;
};

/// A call to the key-value service failed.
struct StoreFailure
{
    StoreStatus status = StoreStatus::Unavailable;
    std::string address;
    std::string detail;
};

} // namespace lagoondeck
