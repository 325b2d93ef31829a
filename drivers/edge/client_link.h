#pragma once

#include "core/http_message.h"
#include "core/time.h"
#include "drivers/edge/byte_stream.h"
#include "drivers/edge/http_reader.h"

#include <cstdint>
#include <functional>
#include <string>

namespace lagoondeck {

/// How a link ended.
enum class LinkEnd {
    Unreachable, ///< The connection was never made; no byte left.
    Lost,        ///< It broke, or its end closed it, with a request out or none.
    Spoiled,     ///< What came is not a reply.
    Closed,      ///< By this process.
};

/// A connection to a server that carries one request at a time.
class ClientLink
{
public:
    struct Hooks
    {
        /// A whole reply. True takes it as the answer; false waits for another one, since this one
        /// belongs to an earlier request.
        std::function<bool(ClientLink &, HttpMessage)> onReply;
        /// The link has ended; it is destroyed soon after.
        std::function<void(ClientLink &, LinkEnd)> onEnd;
    };

    ClientLink(EdgeLoop &loop, const std::string &address, std::uint64_t id, const Hooks &hooks,
               Instant now);

    std::uint64_t id() const { return this->number; }
    /// Sends a request; the link must be idle.
    void send(const std::string &bytes, bool replyHasNoBody);
    /// It carries a request that has not been answered.
    bool busy() const { return this->waits; }
    bool ended() const { return this->over; }
    /// It may carry another request.
    bool reusable() const { return !this->over && !this->waits && !this->spent; }
    /// Ends a link that has not connected in time.
    void checkTime(Instant now);
    void close(LinkEnd end);
    /// Begins to work; a link that could not even start ends here.
    void begin();

    /// Until then an idle link may be used again.
    Instant idleUntil {};

private:
    void onReady(int mode);
    void readReplies();
    void takeReply();

    ByteStream stream;
    std::uint64_t number;
    const Hooks &hooks;
    HttpReader reader;
    std::string input;
    Instant connectBy {};
    bool waits = false;
    /// No further request: the peer closes it, or bytes came that belong to none.
    bool spent = false;
    bool over = false;
};

} // namespace lagoondeck
