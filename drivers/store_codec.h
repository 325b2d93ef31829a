#pragma once

#include "drivers/store_reply.h"
#include "logic/store_operation.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

namespace lagoondeck {

/// Returns the HTTP path of the call for a request.
std::string storePath(const StoreRequest &request);

/// Writes a request as the JSON body of its call.
std::string writeStoreRequest(const StoreRequest &request);

/// Parses the reply to a range, a transaction or a lease grant.
/// Fails with MalformedInput or InvalidInput.
boost::leaf::result<StoreReply> parseStoreReply(const StoreRequest &request, std::string_view text);

/// Parses one line of a watch's stream. Fails with MalformedInput or InvalidInput.
boost::leaf::result<StoreReply> parseWatchBatch(std::string_view line);

} // namespace lagoondeck
