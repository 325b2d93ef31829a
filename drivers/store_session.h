#pragma once

#include "core/time.h"
#include "drivers/platform_session.h"
#include "drivers/store_reply.h"
#include "logic/store_operation.h"

#include <boost/leaf/result.hpp>
#include <functional>
#include <string>

namespace lagoondeck {

/// Makes blocking calls to the key-value service over one connection, for one thread at a time.
/// StoreFailure is the only error of a call.
class StoreSession
{
public:
    explicit StoreSession(std::string address);

    /// Runs a range, a transaction or a lease grant.
    boost::leaf::result<StoreReply> call(const StoreRequest &request, Duration timeout);

    /// Passes each batch of events to onBatch. It always returns an error: when the watch breaks or
    /// is interrupted. The timeout applies to connecting and sending only.
    boost::leaf::result<void> watch(const StoreWatch &request, Duration timeout,
                                    const std::function<void(StoreReply)> &onBatch);

    /// Aborts the current call and makes every later call fail. May be called from any thread.
    void interrupt() { this->session.interrupt(); }

private:
    PlatformSession session;
};

} // namespace lagoondeck
