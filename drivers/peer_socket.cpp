#include "drivers/peer_socket.h"

#include "drivers/peer_errors.h"
#include "proto/peer.pb.h"

#include <algorithm>
#include <array>
#include <boost/leaf/error.hpp>
#include <ctime>
#include <pthread.h>
#include <string_view>
#include <zmq_addon.hpp>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

constexpr std::size_t keyLength = 40;
constexpr int highWaterMark = 256;
constexpr std::int64_t largestMessage = 4 * 1024 * 1024;
constexpr std::size_t mostLinks = 128;
constexpr std::size_t longestQueue = 4096;
constexpr Duration idleLink = std::chrono::seconds(60);
constexpr Duration idleCheckPeriod = std::chrono::seconds(5);
constexpr Duration refusedLogInterval = std::chrono::seconds(1);
constexpr std::chrono::milliseconds pollTimeout {1000};
/// While messages wait for a connection, expired ones are looked for this often.
constexpr std::chrono::milliseconds heldPollTimeout {100};
constexpr int reconnectFirst = 100;
constexpr int reconnectLongest = 2000;
constexpr int handshakeTimeout = 2000;
constexpr int mostWaitingConnections = 512;
/// Messages taken in one turn, so that sending is not held up by a flood.
constexpr int receivedPerTurn = 256;
constexpr const char *wakeAddress = "inproc://wake";
/// The address at which the library asks whether a key may connect.
constexpr const char *authenticationAddress = "inproc://zeromq.zap.01";
constexpr std::string_view authenticationDomain = "cell";

Instant monotonicNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

Duration threadProcessorTime()
{
    timespec spent {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(spent.tv_sec)
                                                + std::chrono::nanoseconds(spent.tv_nsec));
}

void limit(zmq::socket_t &socket)
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, highWaterMark);
    socket.set(zmq::sockopt::rcvhwm, highWaterMark);
    socket.set(zmq::sockopt::maxmsgsize, largestMessage);
    socket.set(zmq::sockopt::handshake_ivl, handshakeTimeout);
}

} // namespace

PeerSocket::PeerSocket(std::string bindAddress, std::string peerKey, Sink sink, LogSink logSink)
    : bindAddress(std::move(bindAddress)), secretKey(std::move(peerKey)), sink(std::move(sink)),
      logSink(std::move(logSink))
{ }

PeerSocket::~PeerSocket()
{
    this->stop();
}

leaf::result<void> PeerSocket::start()
{
    if (!this->secretKey.empty()) {
        std::array<char, keyLength + 1> derived {};
        if (this->secretKey.size() != keyLength
            || zmq_curve_public(derived.data(), this->secretKey.c_str()) != 0) {
            return leaf::new_error(PeerKeyMalformed {this->secretKey.size()});
        }
        this->publicKey = derived.data();
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
        limit(this->router);
        this->router.set(zmq::sockopt::backlog, mostWaitingConnections);
        this->secure(this->router, true);
        this->router.bind("tcp://" + this->bindAddress);
    } catch (const zmq::error_t &error) {
        return leaf::new_error(PeerBindFailed {this->bindAddress, error.num()});
    }
    const std::string endpoint = this->router.get(zmq::sockopt::last_endpoint);
    this->bound = endpoint.substr(std::string_view("tcp://").size());
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
    if (this->queue.size() >= longestQueue || !this->thread.joinable()) {
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
    this->wakeSender.send(zmq::message_t(), zmq::send_flags::dontwait);
}

void PeerSocket::run()
{
    pthread_setname_np(pthread_self(), "peers");
    while (!this->stopping) {
        this->pollOnce();
        const std::lock_guard lock(this->trafficMutex);
        this->counts.processorTime = threadProcessorTime();
    }
    this->links.clear();
    this->router.close();
}

void PeerSocket::pollOnce()
{
    std::vector<zmq::pollitem_t> items {{this->wakeReceiver.handle(), 0, ZMQ_POLLIN, 0},
                                        {this->router.handle(), 0, ZMQ_POLLIN, 0},
                                        {this->authenticator.handle(), 0, ZMQ_POLLIN, 0}};
    std::vector<PeerLink *> holding;
    for (auto &[address, link] : this->links) {
        if (link.hasHeld()) {
            items.push_back({link.zmqSocket().handle(), 0, ZMQ_POLLOUT, 0});
            holding.push_back(&link);
        }
    }
    zmq::poll(items, holding.empty() ? pollTimeout : heldPollTimeout);
    const Instant now = monotonicNow();
    for (PeerLink *link : holding) {
        const std::size_t givenUp = link->flush(now);
        const std::lock_guard lock(this->trafficMutex);
        this->counts.dropped += givenUp;
    }
    this->answerAuthentication();
    this->receiveAll();
    this->sendQueued();
    this->closeIdleLinks();
}

void PeerSocket::receiveAll()
{
    for (int turn = 0; turn < receivedPerTurn; ++turn) {
        zmq::message_t identity;
        if (!this->router.recv(identity, zmq::recv_flags::dontwait)) {
            return;
        }
        zmq::message_t payload;
        bool whole = identity.more();
        if (whole) {
            (void)this->router.recv(payload, zmq::recv_flags::dontwait);
            whole = !payload.more();
        }
        for (bool more = payload.more(); more;) {
            zmq::message_t excess;
            (void)this->router.recv(excess, zmq::recv_flags::dontwait);
            more = excess.more();
        }
        if (whole) {
            this->receiveOne(payload);
        } else {
            this->logRefused("more parts than one");
        }
    }
}

void PeerSocket::receiveOne(const zmq::message_t &payload)
{
    auto message = std::make_shared<proto::PeerMessage>();
    const bool read = message->ParseFromArray(payload.data(), static_cast<int>(payload.size()));
    if (!read || message->sender().empty() || message->sender_address().empty()) {
        this->logRefused("not a peer message");
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
    std::vector<Outgoing> taken;
    {
        const std::lock_guard lock(this->queueMutex);
        zmq::message_t signal;
        while (this->wakeReceiver.recv(signal, zmq::recv_flags::dontwait)) { }
        taken.swap(this->queue);
    }
    for (const Outgoing &outgoing : taken) {
        this->sendOne(outgoing);
    }
}

void PeerSocket::sendOne(const Outgoing &outgoing)
{
    std::string payload = outgoing.message->SerializeAsString();
    const std::size_t size = payload.size();
    PeerLink *link = this->linkTo(outgoing.address);
    const std::size_t givenUp =
            link == nullptr ? 1 : link->send(std::move(payload), monotonicNow());
    const std::lock_guard lock(this->trafficMutex);
    this->counts.dropped += givenUp;
    if (link != nullptr) {
        this->counts.messagesOut += 1;
        this->counts.bytesOut += size;
    }
}

/// Only holders of the cell's key may connect; the library asks here for each new connection.
void PeerSocket::answerAuthentication()
{
    // version, request id, domain, address, identity, mechanism, client key
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
            this->logRefused("not the cell's key");
        }
        request.clear();
    }
}

PeerLink *PeerSocket::linkTo(const std::string &address)
{
    if (const auto found = this->links.find(address); found != this->links.end()) {
        return &found->second;
    }
    if (this->links.size() >= mostLinks) {
        const auto oldest = std::ranges::min_element(
                this->links, {}, [](const auto &link) { return link.second.lastUsed(); });
        this->links.erase(oldest);
    }
    try {
        zmq::socket_t socket(this->context, zmq::socket_type::dealer);
        limit(socket);
        socket.set(zmq::sockopt::immediate, true);
        socket.set(zmq::sockopt::reconnect_ivl, reconnectFirst);
        socket.set(zmq::sockopt::reconnect_ivl_max, reconnectLongest);
        this->secure(socket, false);
        socket.connect("tcp://" + address);
        return &this->links.emplace(address, PeerLink(std::move(socket))).first->second;
    } catch (const zmq::error_t &) {
        // The address is no address; the message is counted as dropped.
        return nullptr;
    }
}

void PeerSocket::closeIdleLinks()
{
    const Instant now = monotonicNow();
    if (now - this->lastIdleCheck < idleCheckPeriod) {
        return;
    }
    this->lastIdleCheck = now;
    std::erase_if(this->links,
                  [now](const auto &link) { return now - link.second.lastUsed() > idleLink; });
}

void PeerSocket::logRefused(std::string_view reason)
{
    std::uint64_t refused = 0;
    {
        const std::lock_guard lock(this->trafficMutex);
        refused = ++this->counts.refused;
    }
    const Instant now = monotonicNow();
    if (!this->logSink
        || (this->lastRefusedLog && now - *this->lastRefusedLog < refusedLogInterval)) {
        return;
    }
    this->lastRefusedLog = now;
    this->logSink({LogEvent::PeerMessageRefused,
                   {{"reason", std::string(reason)}, {"refusedSoFar", std::to_string(refused)}}});
}

void PeerSocket::secure(zmq::socket_t &socket, bool asServer) const
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
