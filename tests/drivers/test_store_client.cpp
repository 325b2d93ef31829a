#include "drivers/store_client.h"
#include "event_collector.h"
#include "tests/support/fake_service.h"
#include "tests/support/test_failure.h"

#include <catch2/catch.hpp>

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>

using namespace lagoondeck;
using namespace lagoondeck::testing;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

namespace {

constexpr Duration longTimeout = std::chrono::seconds(10);

StoreOperation rangeOf(std::uint64_t id, Duration timeout = longTimeout)
{
    return {StoreOpId {id}, StoreRange {"k", ""}, timeout};
}

/// A store client and the replies that it reported.
struct ClientFixture
{
    explicit ClientFixture(const std::string &address)
        : client(address, [this](EventBody event) { this->events.add(std::move(event)); })
    { }

    EventCollector events;
    StoreClient client;
};

} // namespace

TEST_CASE("Replies to successive ranges over one kept-alive connection are decoded")
{
    std::atomic<int> calls = 0;
    FakeService service([&](HTTPServerRequest &request, HTTPServerResponse &response) {
        ++calls;
        CHECK(request.getURI() == "/v3/kv/range");
        CHECK(bodyOf(request) == R"({"key":"aw=="})");
        reply(response, 200,
              R"({"header":{"revision":"9"},"kvs":[{"key":"aw==","value":"djE=","mod_revision":7}]})");
    });
    ClientFixture fixture(service.address());
    for (std::uint64_t id = 1; id <= 20; ++id) {
        fixture.client.execute(rangeOf(id));
        const StoreReplied replied = fixture.events.waitForStoreReply(id - 1);
        REQUIRE(replied.status == StoreStatus::Ok);
        CHECK(replied.operation == StoreOpId {id});
        CHECK(replied.storeRevision == 9);
        CHECK(replied.values == std::vector<StoreKeyValue> {{"k", "v1", 7, 0}});
    }
    CHECK(calls == 20);
    CHECK(fixture.client.counts().ranges == 20);
    CHECK(fixture.client.counts().failures == 0);
}

TEST_CASE("A transaction request contains its compares, writes, deletions and reads")
{
    std::string seen;
    FakeService service([&](HTTPServerRequest &request, HTTPServerResponse &response) {
        seen = bodyOf(request);
        reply(response, 200,
              R"({"succeeded":false,"responses":[{"response_range":{"kvs":[{"key":"aw=="}]}}]})");
    });
    ClientFixture fixture(service.address());
    StoreTransaction transaction {{{"k", 5}}, {{"k", "v", 8}}, {"old"}, {{"k", ""}}};
    fixture.client.execute({StoreOpId {1}, transaction, longTimeout});
    const StoreReplied replied = fixture.events.waitForStoreReply(0);
    REQUIRE(replied.status == StoreStatus::Ok);
    CHECK_FALSE(replied.succeeded);
    CHECK(replied.values.size() == 1);
    const auto json = nlohmann::json::parse(seen);
    CHECK(json["compare"][0]["mod_revision"] == "5");
    CHECK(json["success"][0]["request_put"]["lease"] == "8");
    CHECK(json["success"][1]["request_delete_range"]["key"] == "b2xk");
    CHECK(json["failure"][0]["request_range"]["key"] == "aw==");
}

TEST_CASE("A call to a store that refuses connections is reported as Unavailable")
{
    ClientFixture fixture(refusingAddress());
    fixture.client.execute(rangeOf(1));
    CHECK(fixture.events.waitForStoreReply(0).status == StoreStatus::Unavailable);
    CHECK(fixture.client.counts().failures == 1);
}

TEST_CASE("A call is reported as ReplyLost when the store closes after receiving it")
{
    Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    ClientFixture fixture(socket.address().toString());
    fixture.client.execute(rangeOf(1));
    {
        Poco::Net::StreamSocket connection = socket.acceptConnection();
        char byte = 0;
        REQUIRE(connection.receiveBytes(&byte, 1) == 1);
    }
    CHECK(fixture.events.waitForStoreReply(0).status == StoreStatus::ReplyLost);
}

TEST_CASE("A call is reported as ReplyLost at the timeout when the store never replies")
{
    Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    ClientFixture fixture(socket.address().toString());
    fixture.client.execute(rangeOf(1, std::chrono::milliseconds(50)));
    CHECK(fixture.events.waitForStoreReply(0).status == StoreStatus::ReplyLost);
}

TEST_CASE("A status that proves that the call did not run is Unavailable, others are ReplyLost")
{
    std::atomic<int> status = 429;
    FakeService service([&](HTTPServerRequest &request, HTTPServerResponse &response) {
        bodyOf(request);
        reply(response, status, "{}");
    });
    ClientFixture fixture(service.address());
    fixture.client.execute(rangeOf(1));
    CHECK(fixture.events.waitForStoreReply(0).status == StoreStatus::Unavailable);
    status = 503;
    fixture.client.execute(rangeOf(2));
    CHECK(fixture.events.waitForStoreReply(1).status == StoreStatus::ReplyLost);
}

TEST_CASE("A malformed reply is reported and the next call succeeds")
{
    std::atomic<bool> broken = true;
    FakeService service([&](HTTPServerRequest &request, HTTPServerResponse &response) {
        bodyOf(request);
        reply(response, 200, broken ? R"({"kvs":[{"key":"?"}]})" : "{}");
    });
    ClientFixture fixture(service.address());
    fixture.client.execute(rangeOf(1));
    CHECK(fixture.events.waitForStoreReply(0).status == StoreStatus::Malformed);
    broken = false;
    fixture.client.execute(rangeOf(2));
    CHECK(fixture.events.waitForStoreReply(1).status == StoreStatus::Ok);
}

namespace {

/// Streams two batches and keeps the watch open until streamEnded is set.
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
              while (!this->streamEnded && out.good()) {
                  std::this_thread::sleep_for(std::chrono::milliseconds(5));
              }
          })
    { }
    ~WatchedStore() { this->streamEnded = true; }

    std::atomic<bool> streamEnded = false;
    FakeService service;
};

} // namespace

TEST_CASE("A watch reports its batches and the loss of its stream")
{
    WatchedStore store;
    ClientFixture fixture(store.service.address());
    fixture.client.execute({StoreOpId {1}, StoreWatch {"k", "l", 3}, longTimeout});
    const StoreReplied put = fixture.events.waitForStoreReply(0);
    REQUIRE(put.status == StoreStatus::Ok);
    CHECK(put.storeRevision == 4);
    CHECK(put.values.size() == 1);
    CHECK(fixture.events.waitForStoreReply(1).deletedKeys == std::vector<std::string> {"k"});
    CHECK(fixture.client.counts().openWatches == 1);
    store.streamEnded = true;
    CHECK(fixture.events.waitForStoreReply(2).status == StoreStatus::ReplyLost);
}

TEST_CASE("A watch ended by endWatch reports nothing more")
{
    WatchedStore store;
    ClientFixture fixture(store.service.address());
    fixture.client.execute({StoreOpId {1}, StoreWatch {"k", "l", 3}, longTimeout});
    REQUIRE(fixture.events.waitForStoreReply(1).status == StoreStatus::Ok);
    fixture.client.endWatch(StoreOpId {1});
    while (fixture.client.counts().openWatches > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    CHECK(fixture.events.size() == 2);
}

TEST_CASE("Destroying a client aborts its calls and watches without waiting for their timeouts")
{
    WatchedStore store;
    Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
    const auto started = std::chrono::steady_clock::now();
    {
        ClientFixture watchFixture(store.service.address());
        watchFixture.client.execute({StoreOpId {1}, StoreWatch {"k", "l", 3}, longTimeout});
        REQUIRE(watchFixture.events.waitForStoreReply(0).status == StoreStatus::Ok);
        ClientFixture callFixture(silent.address().toString());
        for (std::uint64_t id = 1; id <= 8; ++id) {
            callFixture.client.execute(rangeOf(id, std::chrono::minutes(10)));
        }
        Poco::Net::StreamSocket connection = silent.acceptConnection();
        char byte = 0;
        REQUIRE(connection.receiveBytes(&byte, 1) == 1);
    }
    CHECK(std::chrono::steady_clock::now() - started < std::chrono::minutes(1));
}

// Guards against an exception on a worker's thread, which ended the process.
TEST_CASE("A reply that can't be processed ends neither the process nor the worker")
{
    FakeService service([&](HTTPServerRequest &, HTTPServerResponse &response) {
        reply(response, 200, R"({"header":{"revision":"9"}})");
    });
    EventCollector events;
    std::atomic<int> failing = 8;
    StoreClient client(service.address(), [&](EventBody event) {
        if (--failing >= 0) {
            throw TestFailure("can't be processed");
        }
        events.add(std::move(event));
    });
    // More than there are workers.
    for (std::uint64_t id = 1; id <= 8; ++id) {
        client.execute(rangeOf(id));
    }
    while (failing > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    client.execute(rangeOf(9));
    CHECK(events.waitForStoreReply(0).operation == StoreOpId {9});
    CHECK(client.stepGuard().failures() == 8);
}
