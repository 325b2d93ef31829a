#include "test_cell.h"

#include "core/catalogue_codec.h"
#include "drivers/entry_node.h"

#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <sstream>

namespace lagoondeck {

namespace leaf = boost::leaf;
using namespace std::chrono_literals;

namespace {

constexpr int callTimeoutSeconds = 5;
constexpr auto readyTimeout = 20s;

Topology smallTopology()
{
    ServiceTopology fit;
    fit.name = "fit";
    fit.groups = 4;
    fit.shards = 4;
    fit.serversPerGroup = 3;
    fit.slots = 4;
    fit.connectionCap = 30;
    fit.meanService = 5ms;
    Topology topology;
    topology.services.push_back(fit);
    return topology;
}

std::string freeAddress()
{
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return socket.address().toString();
}

/// Makes one call on a new connection. Returns an empty string when no complete reply arrived.
std::string call(const std::string &address, const std::string &path, const std::string &body)
{
    try {
        Poco::Net::HTTPClientSession session {Poco::Net::SocketAddress(address)};
        session.setTimeout(Poco::Timespan(callTimeoutSeconds, 0));
        Poco::Net::HTTPRequest request(body.empty() ? "GET" : "POST", path, "HTTP/1.1");
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        std::string text;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), text);
        return static_cast<std::streamsize>(text.size()) == response.getContentLength()
                ? text
                : std::string();
    } catch (const Poco::Exception &) {
        return {};
    }
}

nlohmann::json callJson(const std::string &address, const std::string &path,
                        const std::string &body)
{
    return nlohmann::json::parse(call(address, path, body), nullptr, false);
}

std::string encode(const std::string &text)
{
    std::ostringstream stream;
    Poco::Base64Encoder encoder(stream);
    encoder.rdbuf()->setLineLength(0);
    encoder << text;
    encoder.close();
    return stream.str();
}

nlohmann::json putOf(const std::string &key, const std::string &value)
{
    return {{"request_put", {{"key", encode(key)}, {"value", encode(value)}}}};
}

/// Returns the store transaction that makes the first change of the catalogue.
std::string firstCatalogueChange()
{
    CatalogueChange change;
    change.revision = Revision(1);
    change.changeId = "first";
    change.author = "test";
    change.name = EntryName("fit-check");
    change.entry = CatalogueEntry {};
    change.entry->name = change.name;
    change.entry->owner = "test";
    change.entry->trafficClass = "fit";
    change.entry->service = ServiceName("fit");
    change.entry->ratePerSecond = 100'000;
    change.entry->concurrency = 1000;
    change.entry->deadline = 1s;
    const std::string text = writeCatalogueChange(change);
    const std::string head = "lagoondeck/catalogue/head";
    const nlohmann::json compare {
            {"key", encode(head)}, {"target", "MOD"}, {"result", "EQUAL"}, {"mod_revision", "0"}};
    nlohmann::json transaction;
    transaction["compare"] = nlohmann::json::array({compare});
    transaction["success"] =
            nlohmann::json::array({putOf(head, R"({"revision":1,"changeId":"first"})"),
                                   putOf("lagoondeck/catalogue/changes/000000000001", text),
                                   putOf("lagoondeck/catalogue/entries/fit-check", text)});
    return transaction.dump();
}

} // namespace

TestCell::TestCell(std::size_t nodeCount)
    : fleet(this->loop, smallTopology()), store(this->loop, "127.0.0.1:0", "127.0.0.1:0")
{
    this->fleet.start();
    this->store.start();
    InstanceList list = this->fleet.list();
    std::vector<Settings> settings(nodeCount);
    for (std::size_t i = 0; i < nodeCount; ++i) {
        settings[i].id = InstanceId("entry-" + std::to_string(i));
        settings[i].httpAddress = freeAddress();
        settings[i].peerAddress = freeAddress();
        settings[i].storeAddress = this->store.boundAddress();
        settings[i].seed = i + 1;
        settings[i].callerThreads = 32;
        list.entries.push_back({settings[i].id, settings[i].peerAddress, settings[i].httpAddress,
                                settings[i].failureDomain});
    }
    this->instances = std::make_unique<InstanceService>(this->loop, "127.0.0.1:0", list);
    this->instances->start();
    this->standinThread = std::thread([this] { this->loop.run(); });
    for (Settings &nodeSettings : settings) {
        nodeSettings.instanceListAddress = this->instances->boundAddress();
        auto node = std::make_unique<Node>();
        node->httpAddress = nodeSettings.httpAddress;
        node->entry = std::make_unique<EntryNode>(nodeSettings);
        node->thread = std::thread([node = node.get()] {
            leaf::try_handle_all(
                    [node]() -> leaf::result<void> {
                        BOOST_LEAF_CHECK(
                                node->entry->run([node] { return node->stopRequested.load(); }));
                        return {};
                    },
                    [] {});
        });
        this->nodes.push_back(std::move(node));
    }
}

TestCell::~TestCell()
{
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        this->stop(i);
    }
    this->loop.stop();
    this->standinThread.join();
}

void TestCell::stop(std::size_t node)
{
    this->nodes[node]->stopRequested = true;
    if (this->nodes[node]->thread.joinable()) {
        this->nodes[node]->thread.join();
    }
}

bool TestCell::waitUntilReady()
{
    call(this->store.boundAddress(), "/v3/kv/txn", firstCatalogueChange());
    const auto deadline = std::chrono::steady_clock::now() + readyTimeout;
    for (std::size_t i = 0; i < this->nodes.size();) {
        const nlohmann::json answer = this->query(i, "probe");
        if (answer.is_object() && answer.value("outcome", "") == "answered") {
            ++i;
        } else if (std::chrono::steady_clock::now() > deadline) {
            return false;
        } else {
            std::this_thread::sleep_for(20ms);
        }
    }
    return true;
}

nlohmann::json TestCell::query(std::size_t node, const std::string &requestId) const
{
    const nlohmann::json body {{"requestId", requestId}, {"caller", "test"}};
    return callJson(this->nodes[node]->httpAddress, "/v1/queries/fit-check", body.dump());
}

nlohmann::json TestCell::status(std::size_t node) const
{
    return callJson(this->nodes[node]->httpAddress, "/v1/status", "");
}

bool TestCell::isReady(std::size_t node) const
{
    const nlohmann::json status = this->status(node);
    return status.is_object() && status.value("ready", false);
}

void TestCell::controlTargets(const nlohmann::json &command) const
{
    call(this->fleet.controlAddress(), "/v1/control", command.dump());
}

} // namespace lagoondeck
