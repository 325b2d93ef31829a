#include "drivers/peer_errors.h"
#include "drivers/peer_socket.h"
#include "proto/peer.pb.h"

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

constexpr std::chrono::seconds patience {10};

/// Collects what a socket received.
class Inbox
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
        return this->arrived.wait_for(lock, patience,
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

bool starts(PeerSocket &socket)
{
    return static_cast<bool>(socket.start());
}

template <typename Condition>
bool eventually(Condition &&condition)
{
    const auto end = std::chrono::steady_clock::now() + patience;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(5ms);
    }
    return condition();
}

} // namespace

TEST_CASE("Members with the cell's key hear one another")
{
    const std::string key = newKey();
    Inbox inbox;
    PeerSocket receiver("127.0.0.1:0", key, inbox.sink());
    PeerSocket sender("127.0.0.1:0", key, [](EventBody) {});
    REQUIRE(starts(receiver));
    REQUIRE(starts(sender));
    for (int i = 0; i < 10; ++i) {
        sender.send(receiver.boundAddress(), messageFrom("entry-1"));
    }
    REQUIRE(inbox.waitFor(10));
    CHECK(inbox.messages.front()->sender() == "entry-1");
    CHECK(inbox.messages.front()->ping().sequence() == 7);
    CHECK(sender.traffic().messagesOut == 10);
    CHECK(receiver.traffic().messagesIn == 10);
    CHECK(receiver.traffic().bytesIn == sender.traffic().bytesOut);
}

TEST_CASE("A sender without the cell's key gets nothing in")
{
    Inbox inbox;
    PeerSocket receiver("127.0.0.1:0", newKey(), inbox.sink());
    PeerSocket stranger("127.0.0.1:0", newKey(), [](EventBody) {});
    PeerSocket open("127.0.0.1:0", "", [](EventBody) {});
    REQUIRE(starts(receiver));
    REQUIRE(starts(stranger));
    REQUIRE(starts(open));
    stranger.send(receiver.boundAddress(), messageFrom("stranger"));
    open.send(receiver.boundAddress(), messageFrom("open"));
    // Held messages are given up after two seconds.
    CHECK(eventually(
            [&] { return stranger.traffic().dropped == 1 && open.traffic().dropped == 1; }));
    CHECK(inbox.messages.empty());
}

TEST_CASE("One who knows the cell's public key but holds another secret is refused")
{
    const std::string key = newKey();
    std::array<char, 41> cellPublic {};
    REQUIRE(zmq_curve_public(cellPublic.data(), key.c_str()) == 0);
    Inbox inbox;
    std::atomic<int> refused = 0;
    PeerSocket receiver("127.0.0.1:0", key, inbox.sink(), [&](const WriteLog &log) {
        refused += log.event == LogEvent::PeerMessageRefused ? 1 : 0;
    });
    REQUIRE(starts(receiver));
    zmq::context_t context;
    zmq::socket_t intruder(context, zmq::socket_type::dealer);
    intruder.set(zmq::sockopt::linger, 0);
    std::array<char, 41> ownPublic {};
    std::array<char, 41> ownSecret {};
    REQUIRE(zmq_curve_keypair(ownPublic.data(), ownSecret.data()) == 0);
    intruder.set(zmq::sockopt::curve_serverkey, cellPublic.data());
    intruder.set(zmq::sockopt::curve_publickey, ownPublic.data());
    intruder.set(zmq::sockopt::curve_secretkey, ownSecret.data());
    intruder.connect("tcp://" + receiver.boundAddress());
    intruder.send(zmq::buffer(messageFrom("intruder").SerializeAsString()),
                  zmq::send_flags::dontwait);
    CHECK(eventually([&] { return refused > 0; }));
    CHECK(inbox.messages.empty());
}

TEST_CASE("Malformed messages are counted, told once and dropped")
{
    Inbox inbox;
    std::atomic<int> told = 0;
    PeerSocket receiver("127.0.0.1:0", "", inbox.sink(), [&](const WriteLog &) { told += 1; });
    REQUIRE(starts(receiver));
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
    REQUIRE(inbox.waitFor(1));
    CHECK(inbox.messages.front()->sender() == "entry-1");
    CHECK(receiver.traffic().refused == 6);
    CHECK(told >= 1);
    CHECK(told < 6);
}

TEST_CASE("A peer that is not there holds nothing up")
{
    Inbox inbox;
    PeerSocket receiver("127.0.0.1:0", "", inbox.sink());
    PeerSocket sender("127.0.0.1:0", "", [](EventBody) {});
    REQUIRE(starts(receiver));
    REQUIRE(starts(sender));
    for (int i = 0; i < 100; ++i) {
        sender.send("127.0.0.1:1", messageFrom("entry-1"));
        sender.send("not an address", messageFrom("entry-1"));
    }
    sender.send(receiver.boundAddress(), messageFrom("entry-1"));
    CHECK(inbox.waitFor(1));
    CHECK(eventually([&] { return sender.traffic().dropped == 200; }));
}

TEST_CASE("A wrong key and an address in use are typed failures")
{
    PeerSocket badKey("127.0.0.1:0", "short", [](EventBody) {});
    PeerSocket first("127.0.0.1:0", "", [](EventBody) {});
    REQUIRE(starts(first));
    PeerSocket second(first.boundAddress(), "", [](EventBody) {});
    const auto kindOf = [](PeerSocket &socket) {
        return leaf::try_handle_all(
                [&]() -> leaf::result<int> {
                    BOOST_LEAF_CHECK(socket.start());
                    return 0;
                },
                [](const PeerKeyMalformed &error) { return error.length == 5 ? 1 : -1; },
                [](const PeerBindFailed &) { return 2; }, [] { return 3; });
    };
    CHECK(kindOf(badKey) == 1);
    CHECK(kindOf(second) == 2);
}
