#include "drivers/store_client.h"
#include "event_collector.h"
#include "tests/support/fake_service.h"

#include <catch2/catch.hpp>

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <nlohmann/json.hpp>

using namespace lagoondeck;
using namespace lagoondeck::testing;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

namespace {

constexpr Duration ample = std::chrono::seconds(10);

StoreOperation rangeOf(std::uint64_t id, Duration timeout = ample)
{
    return {StoreOpId {id}, StoreRange {"k", ""}, timeout};
}

/// A client whose replies are collected.
struct Client
{
    explicit Client(const std::string &address)
        : client(address, [this](EventBody event) { this->events.add(std::move(event)); })
    { }

    EventCollector events;
    StoreClient client;
};

} // namespace

TEST_CASE("A range comes back decoded over one kept connection")
{
    std::atomic<int> calls = 0;
    FakeService service([&](HTTPServerRequest &request, HTTPServerResponse &response) {
        ++calls;
        CHECK(request.getURI() == "/v3/kv/range");
        CHECK(bodyOf(request) == R"({"key":"aw=="})");
        reply(response, 200,
              R"({"header":{"revision":"9"},"kvs":[{"key":"aw==","value":"djE=","mod_revision":7}]})");
    });
    Client under(service.address());
    for (std::uint64_t id = 1; id <= 20; ++id) {
        under.client.execute(rangeOf(id));
        const StoreReplied replied = under.events.storeReply(id - 1);
        REQUIRE(replied.status == StoreStatus::Ok);
        CHECK(replied.operation == StoreOpId {id});
        CHECK(replied.storeRevision == 9);
        CHECK(replied.values == std::vector<StoreKeyValue> {{"k", "v1", 7, 0}});
    }
    CHECK(calls == 20);
    CHECK(under.client.counts().ranges == 20);
    CHECK(under.client.counts().failures == 0);
}

TEST_CASE("A transaction carries its compares, writes and reads")
{
    std::string seen;
    FakeService service([&](HTTPServerRequest &request, HTTPServerResponse &response) {
        seen = bodyOf(request);
        reply(response, 200,
              R"({"succeeded":false,"responses":[{"response_range":{"kvs":[{"key":"aw=="}]}}]})");
    });
    Client under(service.address());
    StoreTransaction transaction {{{"k", 5}}, {{"k", "v", 8}}, {"old"}, {{"k", ""}}};
    under.client.execute({StoreOpId {1}, transaction, ample});
    const StoreReplied replied = under.events.storeReply(0);
    REQUIRE(replied.status == StoreStatus::Ok);
    CHECK_FALSE(replied.succeeded);
    CHECK(replied.values.size() == 1);
    const auto json = nlohmann::json::parse(seen);
    CHECK(json["compare"][0]["mod_revision"] == "5");
    CHECK(json["success"][0]["request_put"]["lease"] == "8");
    CHECK(json["success"][1]["request_delete_range"]["key"] == "b2xk");
    CHECK(json["failure"][0]["request_range"]["key"] == "aw==");
}

TEST_CASE("A store that refuses connections is unavailable")
{
    Client under(refusingAddress());
    under.client.execute(rangeOf(1));
    CHECK(under.events.storeReply(0).status == StoreStatus::Unavailable);
    CHECK(under.client.counts().failures == 1);
}

TEST_CASE("A store that takes the request and closes has lost its reply")
{
    Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    Client under(socket.address().toString());
    under.client.execute(rangeOf(1));
    {
        Poco::Net::StreamSocket taken = socket.acceptConnection();
        char byte = 0;
        REQUIRE(taken.receiveBytes(&byte, 1) == 1);
    }
    CHECK(under.events.storeReply(0).status == StoreStatus::ReplyLost);
}

TEST_CASE("A store that never replies has lost its reply at the timeout")
{
    Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    Client under(socket.address().toString());
    under.client.execute(rangeOf(1, std::chrono::milliseconds(50)));
    CHECK(under.events.storeReply(0).status == StoreStatus::ReplyLost);
}

TEST_CASE("What the store's status proves is told")
{
    std::atomic<int> status = 429;
    FakeService service([&](HTTPServerRequest &request, HTTPServerResponse &response) {
        bodyOf(request);
        reply(response, status, "{}");
    });
    Client under(service.address());
    under.client.execute(rangeOf(1));
    CHECK(under.events.storeReply(0).status == StoreStatus::Unavailable);
    status = 503;
    under.client.execute(rangeOf(2));
    CHECK(under.events.storeReply(1).status == StoreStatus::ReplyLost);
}

TEST_CASE("A reply that can't be read is malformed and the next call works")
{
    std::atomic<bool> broken = true;
    FakeService service([&](HTTPServerRequest &request, HTTPServerResponse &response) {
        bodyOf(request);
        reply(response, 200, broken ? R"({"kvs":[{"key":"?"}]})" : "{}");
    });
    Client under(service.address());
    under.client.execute(rangeOf(1));
    CHECK(under.events.storeReply(0).status == StoreStatus::Malformed);
    broken = false;
    under.client.execute(rangeOf(2));
    CHECK(under.events.storeReply(1).status == StoreStatus::Ok);
}

namespace {

/// Streams two batches and then stays open until told to end.
struct WatchedStore
{
    WatchedStore()
        : service([this](HTTPServerRequest &request, HTTPServerResponse &response) {
              bodyOf(request);
              response.setChunkedTransferEncoding(true);
              std::ostream &out = response.send();
              out << R"({"result":{"created":true}})"
                  << "\n"
                  << std::flush;
              out << R"({"result":{"header":{"revision":"4"},"events":[{"kv":{"key":"aw=="}}]}})"
                  << "\n"
                  << R"({"result":{"events":[{"type":"DELETE","kv":{"key":"aw=="}}]}})"
                  << "\n"
                  << std::flush;
              while (!this->end && out.good()) {
                  std::this_thread::sleep_for(std::chrono::milliseconds(5));
              }
          })
    { }
    ~WatchedStore() { this->end = true; }

    std::atomic<bool> end = false;
    FakeService service;
};

} // namespace

TEST_CASE("A watch gives its batches and tells when it broke")
{
    WatchedStore store;
    Client under(store.service.address());
    under.client.execute({StoreOpId {1}, StoreWatch {"k", "l", 3}, ample});
    const StoreReplied put = under.events.storeReply(0);
    REQUIRE(put.status == StoreStatus::Ok);
    CHECK(put.storeRevision == 4);
    CHECK(put.values.size() == 1);
    CHECK(under.events.storeReply(1).deletedKeys == std::vector<std::string> {"k"});
    CHECK(under.client.counts().openWatches == 1);
    store.end = true;
    CHECK(under.events.storeReply(2).status == StoreStatus::ReplyLost);
}

TEST_CASE("A watch ended by its owner ends silently")
{
    WatchedStore store;
    Client under(store.service.address());
    under.client.execute({StoreOpId {1}, StoreWatch {"k", "l", 3}, ample});
    REQUIRE(under.events.storeReply(1).status == StoreStatus::Ok);
    under.client.endWatch(StoreOpId {1});
    while (under.client.counts().openWatches > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    CHECK(under.events.size() == 2);
}

TEST_CASE("A client with calls and a watch under way is destroyed at once")
{
    WatchedStore store;
    Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
    const auto started = std::chrono::steady_clock::now();
    {
        Client watching(store.service.address());
        watching.client.execute({StoreOpId {1}, StoreWatch {"k", "l", 3}, ample});
        REQUIRE(watching.events.storeReply(0).status == StoreStatus::Ok);
        Client calling(silent.address().toString());
        for (std::uint64_t id = 1; id <= 8; ++id) {
            calling.client.execute(rangeOf(id, std::chrono::minutes(10)));
        }
        Poco::Net::StreamSocket taken = silent.acceptConnection();
        char byte = 0;
        REQUIRE(taken.receiveBytes(&byte, 1) == 1);
    }
    CHECK(std::chrono::steady_clock::now() - started < std::chrono::minutes(1));
}
