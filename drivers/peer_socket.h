#pragma once

#include "core/time.h"
#include "drivers/peer_link.h"
#include "drivers/peer_traffic.h"
#include "drivers/step_guard.h"
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

/// Sends and receives peer messages over ZeroMQ. An internal thread owns all sockets; send() may be
/// called from any thread. With a key, connections are encrypted and only peers that hold the key
/// can connect.
class PeerSocket
{
public:
    using Sink = std::function<void(EventBody)>;
    using LogSink = StepGuard::LogSink;

    /// The key is a Z85 secret key of 40 characters that all members share. With an empty key,
    /// messages are not encrypted, which is meant for tests on one machine. Sinks are called on the
    /// internal thread.
    PeerSocket(std::string bindAddress, std::string peerKey, Sink sink, LogSink logSink = nullptr);
    ~PeerSocket();
    PeerSocket(const PeerSocket &) = delete;
    PeerSocket &operator=(const PeerSocket &) = delete;

    /// Binds and starts the thread. Fails with PeerKeyMalformed or PeerBindFailed.
    boost::leaf::result<void> start();
    /// Ends the thread and closes all sockets. Messages to connected peers are still sent for a
    /// short time, until this object is destroyed.
    void stop();

    /// Queues a message for a peer. The address is an IP address and a port.
    void send(const std::string &address, std::shared_ptr<const proto::PeerMessage> message);
    void send(const std::string &address, const proto::PeerMessage &message);

    /// Returns the bound address, with the actual port when port 0 was configured.
    const std::string &boundAddress() const { return this->boundEndpoint; }
    PeerTraffic traffic() const;
    const StepGuard &stepGuard() const { return this->guard; }

private:
    struct Outgoing
    {
        std::string address;
        std::shared_ptr<const proto::PeerMessage> message;
    };

    void run();
    void pollOnce();
    void closeSockets();
    void receiveAll();
    void receiveOne(const zmq::message_t &payload);
    void sendQueued();
    void sendOne(const Outgoing &outgoing);
    void handleAuthenticationRequests();
    PeerLink *findOrOpenLink(const std::string &address);
    void closeIdleLinks();
    void recordRefusedMessage(std::string_view reason);
    void configureEncryption(zmq::socket_t &socket, bool asServer) const;
    void wake();

    std::string bindAddress;
    std::string secretKey;
    std::string publicKey;
    Sink sink;
    LogSink logSink;
    StepGuard guard;
    std::string boundEndpoint;

    zmq::context_t context {1};
    zmq::socket_t router;
    zmq::socket_t wakeReceiver;
    zmq::socket_t authenticator;
    std::map<std::string, PeerLink> links;
    std::optional<Instant> lastRefusedLogAt;
    Instant lastIdleCheckAt {};
    std::thread thread;
    std::atomic<bool> stopping = false;

    std::mutex queueMutex;
    zmq::socket_t wakeSender;
    std::vector<Outgoing> queue;

    mutable std::mutex trafficMutex;
    PeerTraffic counts;
};

} // namespace lagoondeck
