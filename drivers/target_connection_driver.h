#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "drivers/http_reply_reader.h"
#include "logic/effects.h"
#include "logic/events.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/StreamSocket.h>
#include <functional>
#include <optional>
#include <string>

namespace lagoondeck {

/// One non-blocking connection to a target. It carries one request at a time, so that a late reply
/// can't be taken for another request's.
class TargetConnectionDriver
{
public:
    using Sink = std::function<void(EventBody)>;

    TargetConnectionDriver(Poco::Net::PollSet &pollSet, const OpenConnection &effect,
                           const InstanceId &instance, const Sink &sink, Instant now);
    ~TargetConnectionDriver();
    TargetConnectionDriver(const TargetConnectionDriver &) = delete;
    TargetConnectionDriver &operator=(const TargetConnectionDriver &) = delete;

    void send(const SendSubRequest &effect, Instant now);
    /// Ends the connection without sending the attempt.
    void refuse(AttemptId attempt);
    void sendCancellation(AttemptId attempt, Instant now);
    void sendHealthCheck(Instant now);
    /// The attempt on this connection was cancelled; its reply must come soon.
    void expectReplySoon(Instant now);
    /// Ends the connection and tells so, unless that was told before.
    void end(ConnectionEnd reason);

    void onReady(int mode);
    void closeIfSilent(Instant now);

    bool carries(AttemptId candidate) const { return this->attempt == candidate; }
    bool closed() const { return this->state == State::Closed; }
    const Poco::Net::StreamSocket &pollSocket() const { return this->socket; }

private:
    enum class State {
        Connecting,
        Greeting, ///< The first health check is out; its reply shows that we were accepted.
        Idle,
        Busy,
        Cancelling,
        Probing,
        Closed,
    };

    void write(std::string bytes);
    void flush();
    void onConnected();
    void readBytes();
    void takeReplies();
    void takeReply(HttpReply &reply);
    void watch(int mode);

    Poco::Net::PollSet &pollSet;
    const InstanceId &instance;
    const Sink &sink;
    ConnectionId id;
    TargetId target;
    std::string address;
    Poco::Net::StreamSocket socket;
    State state = State::Connecting;
    HttpReplyReader reader;
    std::string output;
    std::optional<AttemptId> attempt;
    /// Some byte of the attempt's request left.
    bool sent = false;
    bool writeWatched = false;
    /// When a silent connection is given up.
    Instant silentUntil {};
};

} // namespace lagoondeck
