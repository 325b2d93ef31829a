#include "drivers/peer_errors.h"
#include "drivers/peer_socket.h"
#include "proto/peer.pb.h"
#include "tests/support/test_failure.h"

#include <catch2/catch.hpp>

#include <array>
#include <boost/leaf/handle_errors.hpp>
#include <condition_variable>
#include <mutex>
#include <zmq.hpp>

using namespace lagoondeck;
using namespace std::chrono_literals;
namespace leaf = boost::leaf;

namespace {

constexpr std::chrono::seconds waitTimeout {10};

/// Collects the messages that a socket received.
class MessageCollector
{
public:
    PeerSocket::Sink sink()
    {
        return [this](EventBody body) {
            const std::lock_guard lock(this->mutex);
            this->messages.push_back(std::get<PeerMessageReceived>(body).message);
            this->arrived.notify_all();
        };
    }
    bool waitFor(std::size_t count)
    {
        std::unique_lock lock(this->mutex);
        return this->arrived.wait_for(lock, waitTimeout,
                                      [&] { return this->messages.size() >= count; });
    }

    std::mutex mutex;
    std::condition_variable arrived;
    std::vector<std::shared_ptr<const proto::PeerMessage>> messages;
};

std::string newKey()
{
    std::array<char, 41> publicKey {};
    std::array<char, 41> secretKey {};
    REQUIRE(zmq_curve_keypair(publicKey.data(), secretKey.data()) == 0);
    return secretKey.data();
}

proto::PeerMessage messageFrom(const std::string &sender)
{
    proto::PeerMessage message;
    message.set_sender(sender);
    message.set_sender_address("127.0.0.1:1");
    message.mutable_ping()->set_sequence(7);
    return message;
}

bool canStart(PeerSocket &socket)
{
    return static_cast<bool>(socket.start());
}

template <typename Condition>
bool waitUntil(Condition &&condition)
{
    const auto end = std::chrono::steady_clock::now() + waitTimeout;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(5ms);
    }
    return condition();
}

} // namespace

TEST_CASE("Members that hold the cell's key exchange messages")
{
    const std::string key = newKey();
    MessageCollector collector;
    PeerSocket receiver("127.0.0.1:0", key, collector.sink());
    PeerSocket sender("127.0.0.1:0", key, [](EventBody) {});
    REQUIRE(canStart(receiver));
    REQUIRE(canStart(sender));
    for (int i = 0; i < 10; ++i) {
        sender.send(receiver.boundAddress(), messageFrom("entry-1"));
    }
    REQUIRE(collector.waitFor(10));
    CHECK(collector.messages.front()->sender() == "entry-1");
    CHECK(collector.messages.front()->ping().sequence() == 7);
    CHECK(sender.traffic().messagesOut == 10);
    CHECK(receiver.traffic().messagesIn == 10);
    CHECK(receiver.traffic().bytesIn == sender.traffic().bytesOut);
}

TEST_CASE("Messages from a sender without the cell's key are not received")
{
    MessageCollector collector;
    PeerSocket receiver("127.0.0.1:0", newKey(), collector.sink());
    PeerSocket otherKeySender("127.0.0.1:0", newKey(), [](EventBody) {});
    PeerSocket unencryptedSender("127.0.0.1:0", "", [](EventBody) {});
    REQUIRE(canStart(receiver));
    REQUIRE(canStart(otherKeySender));
    REQUIRE(canStart(unencryptedSender));
    otherKeySender.send(receiver.boundAddress(), messageFrom("stranger"));
    unencryptedSender.send(receiver.boundAddress(), messageFrom("open"));
    // Queued messages are dropped after two seconds.
    CHECK(waitUntil([&] {
        return otherKeySender.traffic().dropped == 1 && unencryptedSender.traffic().dropped == 1;
    }));
    CHECK(collector.messages.empty());
}

TEST_CASE("A client with the cell's public key but another secret key is refused")
{
    const std::string key = newKey();
    std::array<char, 41> cellPublicKey {};
    REQUIRE(zmq_curve_public(cellPublicKey.data(), key.c_str()) == 0);
    MessageCollector collector;
    std::atomic<int> refused = 0;
    PeerSocket receiver("127.0.0.1:0", key, collector.sink(), [&](const WriteLog &log) {
        refused += log.event == LogEvent::PeerMessageRefused ? 1 : 0;
    });
    REQUIRE(canStart(receiver));
    zmq::context_t context;
    zmq::socket_t unauthorizedClient(context, zmq::socket_type::dealer);
    unauthorizedClient.set(zmq::sockopt::linger, 0);
    std::array<char, 41> otherPublicKey {};
    std::array<char, 41> otherSecretKey {};
    REQUIRE(zmq_curve_keypair(otherPublicKey.data(), otherSecretKey.data()) == 0);
    unauthorizedClient.set(zmq::sockopt::curve_serverkey, cellPublicKey.data());
    unauthorizedClient.set(zmq::sockopt::curve_publickey, otherPublicKey.data());
    unauthorizedClient.set(zmq::sockopt::curve_secretkey, otherSecretKey.data());
    unauthorizedClient.connect("tcp://" + receiver.boundAddress());
    unauthorizedClient.send(zmq::buffer(messageFrom("intruder").SerializeAsString()),
                            zmq::send_flags::dontwait);
    CHECK(waitUntil([&] { return refused > 0; }));
    CHECK(collector.messages.empty());
}

TEST_CASE("Malformed messages are counted and dropped, and their log lines are rate limited")
{
    MessageCollector collector;
    std::atomic<int> logCount = 0;
    PeerSocket receiver("127.0.0.1:0", "", collector.sink(),
                        [&](const WriteLog &) { logCount += 1; });
    REQUIRE(canStart(receiver));
    zmq::context_t context;
    zmq::socket_t raw(context, zmq::socket_type::dealer);
    raw.set(zmq::sockopt::linger, 0);
    raw.connect("tcp://" + receiver.boundAddress());
    for (int i = 0; i < 5; ++i) {
        raw.send(zmq::str_buffer("\xff\xff\xff not a message"), zmq::send_flags::none);
    }
    raw.send(zmq::str_buffer("two"), zmq::send_flags::sndmore);
    raw.send(zmq::str_buffer("parts"), zmq::send_flags::none);
    raw.send(zmq::buffer(messageFrom("entry-1").SerializeAsString()), zmq::send_flags::none);
    REQUIRE(collector.waitFor(1));
    CHECK(collector.messages.front()->sender() == "entry-1");
    CHECK(receiver.traffic().refused == 6);
    CHECK(logCount >= 1);
    CHECK(logCount < 6);
}

TEST_CASE("Messages to an unreachable peer do not delay those to other peers")
{
    MessageCollector collector;
    PeerSocket receiver("127.0.0.1:0", "", collector.sink());
    PeerSocket sender("127.0.0.1:0", "", [](EventBody) {});
    REQUIRE(canStart(receiver));
    REQUIRE(canStart(sender));
    for (int i = 0; i < 100; ++i) {
        sender.send("127.0.0.1:1", messageFrom("entry-1"));
        sender.send("not an address", messageFrom("entry-1"));
    }
    sender.send(receiver.boundAddress(), messageFrom("entry-1"));
    CHECK(collector.waitFor(1));
    CHECK(waitUntil([&] { return sender.traffic().dropped == 200; }));
}

TEST_CASE("A malformed key and an address in use fail with their error types")
{
    PeerSocket badKey("127.0.0.1:0", "short", [](EventBody) {});
    PeerSocket first("127.0.0.1:0", "", [](EventBody) {});
    REQUIRE(canStart(first));
    PeerSocket second(first.boundAddress(), "", [](EventBody) {});
    const auto failureOf = [](PeerSocket &socket) {
        return leaf::try_handle_all(
                [&]() -> leaf::result<int> {
                    BOOST_LEAF_CHECK(socket.start());
                    return 0;
                },
                [](const PeerKeyMalformed &error) { return error.length == 5 ? 1 : -1; },
                [](const PeerBindFailed &) { return 2; }, [] { return 3; });
    };
    CHECK(failureOf(badKey) == 1);
    CHECK(failureOf(second) == 2);
}

// Guards against the last answers to other members being dropped when the process ends.
TEST_CASE("Messages that were queued just before the stop arrive")
{
    MessageCollector collector;
    PeerSocket receiver("127.0.0.1:0", "", collector.sink());
    REQUIRE(canStart(receiver));
    constexpr std::size_t rounds = 5;
    for (std::size_t i = 0; i < rounds; ++i) {
        PeerSocket sender("127.0.0.1:0", "", [](EventBody) {});
        REQUIRE(canStart(sender));
        sender.send(receiver.boundAddress(), messageFrom("entry-1"));
        REQUIRE(collector.waitFor(2 * i + 1));
        // As long as an answer may be.
        proto::PeerMessage last = messageFrom("entry-1");
        last.mutable_delegated_answer()->set_body(std::string(3 * 1024 * 1024, 'x'));
        sender.send(receiver.boundAddress(), last);
        sender.stop();
        CHECK(collector.waitFor(2 * i + 2));
    }
}

// Guards against an exception on the thread of the peer messages, which ended the process and lost
// all requests in flight.
TEST_CASE("A message that can't be processed ends neither the process nor the thread")
{
    MessageCollector collector;
    std::atomic<int> calls = 0;
    std::atomic<int> logged = 0;
    PeerSocket receiver(
            "127.0.0.1:0", "",
            [&, sink = collector.sink()](EventBody body) {
                if (++calls == 1) {
                    throw TestFailure("can't be processed");
                }
                sink(std::move(body));
            },
            [&](const WriteLog &log) { logged += log.event == LogEvent::StepFailed ? 1 : 0; });
    PeerSocket sender("127.0.0.1:0", "", [](EventBody) {});
    REQUIRE(canStart(receiver));
    REQUIRE(canStart(sender));
    for (int i = 0; i < 3; ++i) {
        sender.send(receiver.boundAddress(), messageFrom("entry-1"));
    }
    CHECK(collector.waitFor(2));
    CHECK(receiver.stepGuard().failures() == 1);
    CHECK(logged == 1);
}
