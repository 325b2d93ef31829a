#include "drivers/store_session.h"

#include "core/errors.h"
#include "drivers/store_codec.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <utility>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusTooManyRequests = 429;

/// Statuses by which the service says that it did not begin the call.
bool refusedBeforeRun(int status)
{
    return status == statusBadRequest || status == statusTooManyRequests;
}

leaf::error_id malformed(const std::string &address, const std::string &detail)
{
    return leaf::new_error(StoreFailure {StoreStatus::Malformed, address, detail});
}

/// Runs a step and turns each of its failures into a StoreFailure.
template <typename Step>
auto asStoreFailure(const std::string &address, Step &&step) -> decltype(step())
{
    using Result = decltype(step());
    return leaf::try_handle_some(
            std::forward<Step>(step),
            [](const CallFailed &failure) -> Result {
                const auto status = failure.mayHaveTakenEffect ? StoreStatus::ReplyLost
                                                               : StoreStatus::Unavailable;
                return leaf::new_error(StoreFailure {status, failure.address, failure.detail});
            },
            [&](const MalformedInput &input) -> Result { return malformed(address, input.detail); },
            [&](const InvalidInput &input) -> Result {
                const FieldProblem &first = input.problems.front();
                return malformed(address, first.path + ": " + first.detail);
            });
}

} // namespace

StoreSession::StoreSession(std::string address) : session(std::move(address)) { }

leaf::result<StoreReply> StoreSession::call(const StoreRequest &request, Duration timeout)
{
    const std::string &address = this->session.address();
    return asStoreFailure(address, [&]() -> leaf::result<StoreReply> {
        const PlatformRequest http {"POST", storePath(request), writeStoreRequest(request)};
        BOOST_LEAF_AUTO(reply, this->session.call(http, timeout));
        if (reply.status != statusOk) {
            const auto status = refusedBeforeRun(reply.status) ? StoreStatus::Unavailable
                                                               : StoreStatus::ReplyLost;
            return leaf::new_error(
                    StoreFailure {status, address, "status " + std::to_string(reply.status)});
        }
        return parseStoreReply(request, reply.body);
    });
}

leaf::result<void> StoreSession::watch(const StoreWatch &request, Duration timeout,
                                       const std::function<void(StoreReply)> &onBatch)
{
    return asStoreFailure(this->session.address(), [&]() -> leaf::result<void> {
        const PlatformRequest http {"POST", storePath(request), writeStoreRequest(request)};
        leaf::result<void> ended;
        auto onLine = [&](std::string_view line) {
            auto batch = parseWatchBatch(line);
            if (!batch) {
                const leaf::error_id id = batch.error();
                ended = leaf::result<void>(id);
                return false;
            }
            const bool last = batch->watchEnded;
            if (!batch->values.empty() || !batch->deletedKeys.empty()) {
                onBatch(std::move(*batch));
            }
            if (last) {
                ended = leaf::result<void>(leaf::new_error(
                        StoreFailure {StoreStatus::ReplyLost, this->session.address(),
                                      "the service ended the watch"}));
            }
            return !last;
        };
        BOOST_LEAF_CHECK(this->session.stream(http, timeout, onLine));
        return ended;
    });
}

} // namespace lagoondeck
