#include "drivers/peer_socket.h"

#include "core/os/clock.h"
#include "drivers/peer_errors.h"
#include "proto/peer.pb.h"

#include <algorithm>
#include <array>
#include <boost/leaf/error.hpp>
#include <cerrno>
#include <ctime>
#include <pthread.h>
#include <string_view>
#include <zmq_addon.hpp>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

constexpr std::size_t keyLength = 40;
constexpr int highWaterMark = 256;
constexpr std::int64_t maxMessageBytes = 4 * 1024 * 1024;
/// A coordinator exchanges messages with all instances that delegate queries to it.
constexpr std::size_t maxLinks = 512;
constexpr std::size_t maxQueueLength = 4096;
constexpr Duration idleLinkTimeout = std::chrono::seconds(60);
constexpr Duration idleCheckPeriod = std::chrono::seconds(5);
constexpr Duration refusedLogInterval = std::chrono::seconds(1);
constexpr std::chrono::milliseconds pollTimeout {1000};
/// While messages are queued for a connection, expired ones are dropped at this interval.
constexpr std::chrono::milliseconds queuedPollTimeout {100};
constexpr int minReconnectIntervalMs = 100;
constexpr int maxReconnectIntervalMs = 2000;
constexpr int handshakeTimeout = 2000;
/// A connection is closed if the peer does not acknowledge sent bytes within this time. Lost
/// packets are sent again several times within it.
constexpr int unacknowledgedTimeoutMs = 1500;
/// A new attempt to connect replaces one whose packets are sent again ever more rarely.
constexpr int connectTimeoutMs = 1000;
/// Accepted connections only receive, so that only keep-alive probes show that one is dead. The
/// time limit above also applies to probes, so that the second one ends the connection.
constexpr int keepAliveIdleSeconds = 15;
constexpr int keepAliveIntervalSeconds = 5;
constexpr int listenBacklog = 512;
/// Limits the messages received per poll, so that a flood of them does not delay sending.
constexpr int maxReceivedPerPoll = 256;
/// After stop(), what was queued before may take this long to be sent.
constexpr int stopLingerMs = 100;
constexpr const char *wakeAddress = "inproc://wake";
/// The address at which ZeroMQ requests authentication of a connecting key (ZAP, RFC 27).
constexpr const char *authenticationAddress = "inproc://zeromq.zap.01";
constexpr std::string_view authenticationDomain = "cell";

Duration threadProcessorTime()
{
    timespec cpuTime {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &cpuTime);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(cpuTime.tv_sec)
                                                + std::chrono::nanoseconds(cpuTime.tv_nsec));
}

void setSocketLimits(zmq::socket_t &socket)
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, highWaterMark);
    socket.set(zmq::sockopt::rcvhwm, highWaterMark);
    socket.set(zmq::sockopt::maxmsgsize, maxMessageBytes);
    socket.set(zmq::sockopt::handshake_ivl, handshakeTimeout);
}

/// Waits until an event arrives, the time is over or a signal interrupts the wait.
void waitForEvents(std::vector<zmq::pollitem_t> &items, std::chrono::milliseconds timeout)
{
    try {
        zmq::poll(items, timeout);
    } catch (const zmq::error_t &error) {
        if (error.num() != EINTR) {
            throw;
        }
    }
}

/// Lets the operating system notice a connection that has fallen silent without a reset.
void setSilenceTimeouts(zmq::socket_t &socket)
{
    socket.set(zmq::sockopt::tcp_maxrt, unacknowledgedTimeoutMs);
    socket.set(zmq::sockopt::connect_timeout, connectTimeoutMs);
    socket.set(zmq::sockopt::tcp_keepalive, 1);
    socket.set(zmq::sockopt::tcp_keepalive_idle, keepAliveIdleSeconds);
    socket.set(zmq::sockopt::tcp_keepalive_intvl, keepAliveIntervalSeconds);
}

} // namespace

PeerSocket::PeerSocket(std::string bindAddress, std::string peerKey, Sink sink, LogSink logSink)
    : bindAddress(std::move(bindAddress)), secretKey(std::move(peerKey)), sink(std::move(sink)),
      logSink(std::move(logSink)), guard("peers", this->logSink)
{ }

PeerSocket::~PeerSocket()
{
    this->stop();
}

leaf::result<void> PeerSocket::start()
{
    if (!this->secretKey.empty()) {
        std::array<char, keyLength + 1> derivedPublicKey {};
        if (this->secretKey.size() != keyLength
            || zmq_curve_public(derivedPublicKey.data(), this->secretKey.c_str()) != 0) {
            return leaf::new_error(PeerKeyMalformed {this->secretKey.size()});
        }
        this->publicKey = derivedPublicKey.data();
    }
    try {
        this->authenticator = zmq::socket_t(this->context, zmq::socket_type::rep);
        this->authenticator.set(zmq::sockopt::linger, 0);
        this->authenticator.bind(authenticationAddress);
        this->wakeReceiver = zmq::socket_t(this->context, zmq::socket_type::pair);
        this->wakeReceiver.bind(wakeAddress);
        this->wakeSender = zmq::socket_t(this->context, zmq::socket_type::pair);
        this->wakeSender.connect(wakeAddress);
        this->router = zmq::socket_t(this->context, zmq::socket_type::router);
        setSocketLimits(this->router);
        setSilenceTimeouts(this->router);
        this->router.set(zmq::sockopt::backlog, listenBacklog);
        this->configureEncryption(this->router, true);
        this->router.bind("tcp://" + this->bindAddress);
    } catch (const zmq::error_t &error) {
        return leaf::new_error(PeerBindFailed {this->bindAddress, error.num()});
    }
    const std::string endpoint = this->router.get(zmq::sockopt::last_endpoint);
    this->boundEndpoint = endpoint.substr(std::string_view("tcp://").size());
    this->thread = std::thread([this] { this->run(); });
    return {};
}

void PeerSocket::stop()
{
    if (this->thread.joinable()) {
        this->stopping = true;
        {
            const std::lock_guard lock(this->queueMutex);
            this->wake();
        }
        this->thread.join();
    }
}

void PeerSocket::send(const std::string &address, std::shared_ptr<const proto::PeerMessage> message)
{
    const std::lock_guard lock(this->queueMutex);
    if (this->queue.size() >= maxQueueLength || !this->thread.joinable()) {
        const std::lock_guard trafficLock(this->trafficMutex);
        this->counts.dropped += 1;
        return;
    }
    this->queue.push_back({address, std::move(message)});
    if (this->queue.size() == 1) {
        this->wake();
    }
}

void PeerSocket::send(const std::string &address, const proto::PeerMessage &message)
{
    this->send(address, std::make_shared<const proto::PeerMessage>(message));
}

PeerTraffic PeerSocket::traffic() const
{
    const std::lock_guard lock(this->trafficMutex);
    return this->counts;
}

void PeerSocket::wake()
{
    // Without the message, the thread finds the queue when its poll times out.
    this->guard.run(
            [this] { (void)this->wakeSender.send(zmq::message_t(), zmq::send_flags::dontwait); });
}

void PeerSocket::run()
{
    pthread_setname_np(pthread_self(), "peers");
    while (!this->stopping) {
        this->guard.runRepeated([this] { this->pollOnce(); });
        const std::lock_guard lock(this->trafficMutex);
        this->counts.processorTime = threadProcessorTime();
    }
    this->guard.run([this] { this->sendQueued(); });
    this->guard.run([this] { this->closeSockets(); });
}

void PeerSocket::closeSockets()
{
    for (auto &[address, link] : this->links) {
        link.zmqSocket().set(zmq::sockopt::linger, stopLingerMs);
    }
    this->links.clear();
    this->router.close();
}

void PeerSocket::pollOnce()
{
    std::vector<zmq::pollitem_t> items {{this->wakeReceiver.handle(), 0, ZMQ_POLLIN, 0},
                                        {this->router.handle(), 0, ZMQ_POLLIN, 0},
                                        {this->authenticator.handle(), 0, ZMQ_POLLIN, 0}};
    std::vector<PeerLink *> queuedLinks;
    for (auto &[address, link] : this->links) {
        if (link.hasQueuedMessages()) {
            items.push_back({link.zmqSocket().handle(), 0, ZMQ_POLLOUT, 0});
            queuedLinks.push_back(&link);
        }
    }
    waitForEvents(items, queuedLinks.empty() ? pollTimeout : queuedPollTimeout);
    const Instant now = monotonicNow();
    for (PeerLink *link : queuedLinks) {
        const std::size_t dropped = link->flush(now);
        const std::lock_guard lock(this->trafficMutex);
        this->counts.dropped += dropped;
    }
    this->handleAuthenticationRequests();
    this->receiveAll();
    this->sendQueued();
    this->closeIdleLinks();
}

void PeerSocket::receiveAll()
{
    for (int received = 0; received < maxReceivedPerPoll; ++received) {
        zmq::message_t identity;
        if (!this->router.recv(identity, zmq::recv_flags::dontwait)) {
            return;
        }
        zmq::message_t payload;
        bool complete = identity.more();
        if (complete) {
            (void)this->router.recv(payload, zmq::recv_flags::dontwait);
            complete = !payload.more();
        }
        for (bool more = payload.more(); more;) {
            zmq::message_t excess;
            (void)this->router.recv(excess, zmq::recv_flags::dontwait);
            more = excess.more();
        }
        if (complete) {
            // A message that can't be processed does not hold up the next ones.
            this->guard.run([&] { this->receiveOne(payload); });
        } else {
            this->recordRefusedMessage("not exactly one message part");
        }
    }
}

void PeerSocket::receiveOne(const zmq::message_t &payload)
{
    auto message = std::make_shared<proto::PeerMessage>();
    const bool parsed = message->ParseFromArray(payload.data(), static_cast<int>(payload.size()));
    if (!parsed || message->sender().empty() || message->sender_address().empty()) {
        this->recordRefusedMessage("malformed peer message");
        return;
    }
    {
        const std::lock_guard lock(this->trafficMutex);
        this->counts.messagesIn += 1;
        this->counts.bytesIn += payload.size();
    }
    this->sink(PeerMessageReceived {std::move(message)});
}

void PeerSocket::sendQueued()
{
    std::vector<Outgoing> outgoingMessages;
    {
        const std::lock_guard lock(this->queueMutex);
        zmq::message_t signal;
        while (this->wakeReceiver.recv(signal, zmq::recv_flags::dontwait)) { }
        outgoingMessages.swap(this->queue);
    }
    for (const Outgoing &outgoing : outgoingMessages) {
        if (!this->guard.run([&] { this->sendOne(outgoing); })) {
            const std::lock_guard lock(this->trafficMutex);
            this->counts.dropped += 1;
        }
    }
}

void PeerSocket::sendOne(const Outgoing &outgoing)
{
    std::string payload = outgoing.message->SerializeAsString();
    const std::size_t size = payload.size();
    PeerLink *link = this->findOrOpenLink(outgoing.address);
    const std::size_t dropped =
            link == nullptr ? 1 : link->send(std::move(payload), monotonicNow());
    const std::lock_guard lock(this->trafficMutex);
    this->counts.dropped += dropped;
    if (link != nullptr) {
        this->counts.messagesOut += 1;
        this->counts.bytesOut += size;
    }
}

/// Answers ZeroMQ's authentication request for each new connection: only peers that hold the cell's
/// key may connect.
void PeerSocket::handleAuthenticationRequests()
{
    // Frames: version, request id, domain, address, identity, mechanism, client key.
    constexpr std::size_t curveFrames = 7;
    zmq::multipart_t request;
    while (request.recv(this->authenticator, ZMQ_DONTWAIT)) {
        bool allowed = false;
        if (request.size() == curveFrames && request[curveFrames - 1].size() == 32) {
            std::array<char, keyLength + 1> key {};
            zmq_z85_encode(key.data(), request[curveFrames - 1].data<std::uint8_t>(), 32);
            allowed = this->publicKey == key.data();
        }
        zmq::multipart_t reply;
        reply.addstr("1.0");
        reply.addstr(request.size() > 1 ? request[1].to_string() : "");
        reply.addstr(allowed ? "200" : "400");
        reply.addstr(allowed ? "OK" : "refused");
        reply.addstr(allowed ? "member" : "");
        reply.addstr("");
        reply.send(this->authenticator);
        if (!allowed) {
            this->recordRefusedMessage("the key is not the cell's key");
        }
        request.clear();
    }
}

PeerLink *PeerSocket::findOrOpenLink(const std::string &address)
{
    if (const auto found = this->links.find(address); found != this->links.end()) {
        return &found->second;
    }
    if (this->links.size() >= maxLinks) {
        const auto leastRecentlyUsed = std::ranges::min_element(
                this->links, {}, [](const auto &link) { return link.second.lastUsed(); });
        this->links.erase(leastRecentlyUsed);
    }
    try {
        zmq::socket_t socket(this->context, zmq::socket_type::dealer);
        setSocketLimits(socket);
        setSilenceTimeouts(socket);
        socket.set(zmq::sockopt::immediate, true);
        socket.set(zmq::sockopt::reconnect_ivl, minReconnectIntervalMs);
        socket.set(zmq::sockopt::reconnect_ivl_max, maxReconnectIntervalMs);
        this->configureEncryption(socket, false);
        socket.connect("tcp://" + address);
        return &this->links.emplace(address, PeerLink(std::move(socket))).first->second;
    } catch (const zmq::error_t &) {
        // The address is invalid; sendOne() counts the message as dropped.
        return nullptr;
    }
}

void PeerSocket::closeIdleLinks()
{
    const Instant now = monotonicNow();
    if (now - this->lastIdleCheckAt < idleCheckPeriod) {
        return;
    }
    this->lastIdleCheckAt = now;
    std::erase_if(this->links, [now](const auto &link) {
        return now - link.second.lastUsed() > idleLinkTimeout;
    });
}

void PeerSocket::recordRefusedMessage(std::string_view reason)
{
    std::uint64_t refused = 0;
    {
        const std::lock_guard lock(this->trafficMutex);
        refused = ++this->counts.refused;
    }
    const Instant now = monotonicNow();
    if (!this->logSink
        || (this->lastRefusedLogAt && now - *this->lastRefusedLogAt < refusedLogInterval)) {
        return;
    }
    this->lastRefusedLogAt = now;
    this->logSink({LogEvent::PeerMessageRefused,
                   {{"reason", std::string(reason)}, {"refusedSoFar", std::to_string(refused)}}});
}

void PeerSocket::configureEncryption(zmq::socket_t &socket, bool asServer) const
{
    if (this->secretKey.empty()) {
        return;
    }
    if (asServer) {
        socket.set(zmq::sockopt::curve_server, true);
        socket.set(zmq::sockopt::curve_secretkey, this->secretKey);
        socket.set(zmq::sockopt::zap_domain, std::string(authenticationDomain));
        return;
    }
    socket.set(zmq::sockopt::curve_serverkey, this->publicKey);
    socket.set(zmq::sockopt::curve_publickey, this->publicKey);
    socket.set(zmq::sockopt::curve_secretkey, this->secretKey);
}

} // namespace lagoondeck
