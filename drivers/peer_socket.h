#pragma once

#include "core/time.h"
#include "drivers/peer_link.h"
#include "drivers/peer_traffic.h"
#include "logic/effects.h"
#include "logic/events.h"

#include <atomic>
#include <boost/leaf/result.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>
#include <zmq.hpp>

namespace lagoondeck {

/// Carries peer messages over ZeroMQ. All sockets belong to one thread of its own; send() may be
/// called from any thread. With a key, connections are encrypted and only its holders get in.
class PeerSocket
{
public:
    using Sink = std::function<void(EventBody)>;
    using LogSink = std::function<void(const WriteLog &)>;

    /// The key is a Z85 secret key of 40 characters that all members share; an empty one leaves
    /// the messages in the clear, for trials on one machine. Sinks are called on the own thread.
    PeerSocket(std::string bindAddress, std::string peerKey, Sink sink, LogSink logSink = nullptr);
    ~PeerSocket();
    PeerSocket(const PeerSocket &) = delete;
    PeerSocket &operator=(const PeerSocket &) = delete;

    /// Binds and starts the thread. Fails with PeerKeyMalformed or PeerBindFailed.
    boost::leaf::result<void> start();
    /// Ends the thread and closes all sockets; what was not sent is dropped.
    void stop();

    /// Queues a message to a peer's address, an IP number and a port.
    void send(const std::string &address, std::shared_ptr<const proto::PeerMessage> message);
    void send(const std::string &address, const proto::PeerMessage &message);

    /// The address that was bound; tells the port when the settings' one was 0.
    const std::string &boundAddress() const { return this->bound; }
    PeerTraffic traffic() const;

private:
    struct Outgoing
    {
        std::string address;
        std::shared_ptr<const proto::PeerMessage> message;
    };

    void run();
    void pollOnce();
    void receiveAll();
    void receiveOne(const zmq::message_t &payload);
    void sendQueued();
    void sendOne(const Outgoing &outgoing);
    void answerAuthentication();
    PeerLink *linkTo(const std::string &address);
    void closeIdleLinks();
    void logRefused(std::string_view reason);
    void secure(zmq::socket_t &socket, bool asServer) const;
    void wake();

    std::string bindAddress;
    std::string secretKey;
    std::string publicKey;
    Sink sink;
    LogSink logSink;
    std::string bound;

    zmq::context_t context {1};
    zmq::socket_t router;
    zmq::socket_t wakeReceiver;
    zmq::socket_t authenticator;
    std::map<std::string, PeerLink> links;
    std::optional<Instant> lastRefusedLog;
    Instant lastIdleCheck {};
    std::thread thread;
    std::atomic<bool> stopping = false;

    std::mutex queueMutex;
    zmq::socket_t wakeSender;
    std::vector<Outgoing> queue;

    mutable std::mutex trafficMutex;
    PeerTraffic counts;
};

} // namespace lagoondeck
