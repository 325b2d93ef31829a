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

/// A non-blocking connection to a target. It carries one request at a time, so that a late reply
/// can't be mistaken for the reply to another request.
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
    /// Closes the connection without sending the attempt.
    void closeWithoutSending(AttemptId attempt);
    void sendCancellation(AttemptId attempt, Instant now);
    void sendHealthCheck(Instant now);
    /// Called when the attempt on this connection was cancelled: its reply must arrive within a
    /// shorter time.
    void shortenReplyTimeout(Instant now);
    /// Closes the connection and reports its end once.
    void end(ConnectionEnd reason);

    void onReady(int mode);
    void closeIfTimedOut(Instant now);

    bool isCarrying(AttemptId candidate) const { return this->attempt == candidate; }
    bool isClosed() const { return this->state == State::Closed; }
    const Poco::Net::StreamSocket &pollSocket() const { return this->socket; }

private:
    enum class State {
        Connecting,
        AwaitingAcceptance, ///< The first health check was sent; its reply shows that the target
                            ///< accepted the connection.
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
    void handleReplies();
    void handleReply(HttpReply &reply);
    void setPollMode(int mode);

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
    /// Whether any byte of the attempt's request was sent.
    bool anyRequestByteSent = false;
    bool pollingForWrite = false;
    /// When the connection is closed if the target has not replied.
    Instant responseDeadline {};
};

} // namespace lagoondeck
