#pragma once

#include "core/time.h"
#include "drivers/platform_session.h"
#include "drivers/store_reply.h"
#include "logic/store_operation.h"

#include <boost/leaf/result.hpp>
#include <functional>
#include <string>

namespace lagoondeck {

/// Blocking calls on the key-value service over one connection, for one thread at a time.
/// Every call fails with StoreFailure only.
class StoreSession
{
public:
    explicit StoreSession(std::string address);

    /// Runs a range, a transaction or a lease grant.
    boost::leaf::result<StoreReply> call(const StoreRequest &request, Duration timeout);

    /// Gives each batch of events to onBatch; it returns only by failing, at the latest when
    /// interrupted. The timeout holds for the connection and the send.
    boost::leaf::result<void> watch(const StoreWatch &request, Duration timeout,
                                    const std::function<void(StoreReply)> &onBatch);

    /// Ends a call under way and refuses every later one. Any thread may call it.
    void interrupt() { this->session.interrupt(); }

private:
    PlatformSession session;
};

} // namespace lagoondeck
