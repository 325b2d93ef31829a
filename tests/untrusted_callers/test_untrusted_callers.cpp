#include "crowd.h"
#include "daemon_fixture.h"
#include "idle_crowd.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <string>

using namespace lagoondeck;
using namespace lagoondeck::untrustedtest;
using namespace std::chrono_literals;

namespace {

/// Ends the first step of a crowd whose callers wait for a daemon that does not read any more.
constexpr auto loadLimit = 20s;

const std::string chunkedHead = "POST /one/x HTTP/1.1\r\nHost: h\r\nRequest-Id: c\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n";

std::string requestLine(const std::string &path, std::size_t bodyBytes)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: c\r\nDeadline-Ms: 120000\r\n"
            + "Content-Length: " + std::to_string(bodyBytes) + "\r\n";
}

/// Starts all callers at once and checks the daemon when they have done their first step.
void checkWithCrowd(DaemonFixture &fixture, std::size_t count, const Crowd::Step &load)
{
    Crowd crowd(fixture.callerAddress(), load);
    crowd.add(count);
    crowd.waitUntilLoaded(loadLimit);
    fixture.checkBounds();
}

} // namespace

// Guards against received bytes that no limit bounds: 40 callers send 8 MB each, 320 MB together.
TEST_CASE("trailers, chunk extensions and headers without end don't fill the memory")
{
    const auto [start, part] =
            GENERATE(table<std::string, std::string>({{chunkedHead + "0\r\n", "A: b\r\n"},
                                                      {chunkedHead + "1", ";a=b"},
                                                      {chunkedHead + "1;a=\"", "x"},
                                                      {chunkedHead, "1;a=b\r\nx\r\n"},
                                                      {"GET /one/x HTTP/1.1\r\n", "A: b\r\n"},
                                                      {"GET /one/", "x"}}));
    INFO(start << part);
    DaemonFixture fixture;
    checkWithCrowd(fixture, 40, [start = start, part = part](CrowdCaller &caller) {
        if (caller.send(start)) {
            caller.sendRepeated(part, 8 * 1024 * 1024);
        }
    });
}

// Guards against answers that fill the memory because nobody reads them: 40 answers of 8 MB, of
// which the sockets' buffers hold less than half. The callers ask one after the other.
TEST_CASE("long answers that are read slowly or not at all don't fill the memory")
{
    const bool reads = GENERATE(false, true);
    INFO((reads ? "slowly" : "not at all"));
    DaemonFixture fixture;
    Crowd crowd(
            fixture.callerAddress(),
            [](CrowdCaller &caller) {
                if (caller.send(requestLine("/long/x", 0) + "\r\n")) {
                    caller.receive(16);
                }
            },
            [reads](CrowdCaller &caller) {
                while (reads && caller.isActive()) {
                    caller.receive(1024);
                    std::this_thread::sleep_for(20ms);
                }
            });
    for (int i = 0; i < 40; ++i) {
        crowd.add(1);
        crowd.waitUntilLoaded(loadLimit);
    }
    fixture.checkBounds();
}

// Guards against header fields that cost much more memory and time than their bytes: each of the
// 100 requests has about 13,000 of them and waits for its answer.
TEST_CASE("very many small header fields fill neither the memory nor the event loop")
{
    DaemonFixture fixture;
    checkWithCrowd(fixture, 100, [](CrowdCaller &caller) {
        std::string request = requestLine("/waits/x", 0);
        while (request.size() + 8 < maxHeaderBytes) {
            request += "a:b\r\n";
        }
        caller.send(request + "\r\n");
    });
}

// Guards against the same fields in headers that don't end: 120 callers send 7 MB, and the fields
// take many times as much.
TEST_CASE("unfinished headers with very many small fields don't fill the memory")
{
    DaemonFixture fixture;
    checkWithCrowd(fixture, 120, [](CrowdCaller &caller) {
        std::string request = requestLine("/one/x", 0);
        while (request.size() + 8 < maxHeaderBytes) {
            request += "a:\r\n";
        }
        caller.send(request);
    });
}

// Guards against requests that together fill the memory although each is within the limits: 100
// callers send 1 MB that waits for an answer, and another 1 MB behind it.
TEST_CASE("pipelined requests whose answers are not read don't fill the memory")
{
    DaemonFixture fixture;
    checkWithCrowd(fixture, 100, [](CrowdCaller &caller) {
        const std::string request =
                requestLine("/waits/x", maxBodyBytes) + "\r\n" + std::string(maxBodyBytes, 'x');
        caller.send(request + request);
    });
}

// Guards against bodies within the limit that don't end, of 200 callers.
TEST_CASE("incomplete bodies don't fill the memory")
{
    DaemonFixture fixture;
    checkWithCrowd(fixture, 200, [](CrowdCaller &caller) {
        caller.send(requestLine("/one/x", maxBodyBytes) + "\r\n"
                    + std::string(maxBodyBytes - 1, 'x'));
    });
}

// Guards against callers that use up the descriptors: 450 connections, of which an ordinary caller
// and the connections to targets need some, at a limit of 400.
TEST_CASE("connections that send nothing or a byte now and then leave descriptors free")
{
    constexpr std::size_t fewDescriptors = 400;
    std::signal(SIGPIPE, SIG_IGN);
    DaemonFixture fixture(fewDescriptors);
    IdleCrowd crowd(fixture.callerAddress(), 450);
    crowd.waitForRounds(10);
    fixture.checkBounds();
}

// Guards against targets whose replies don't end: neither memory nor other requests may suffer.
TEST_CASE("replies without end don't fill the memory")
{
    const std::string chunkedReply = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto [head, body] = GENERATE_COPY(
            table<std::string, std::string>({{chunkedReply + "0\r\n", "A: b\r\n"},
                                             {chunkedReply + "1", ";a=b"},
                                             {"", "HTTP/1.1 100 Continue\r\n\r\n"},
                                             {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"}}));
    INFO(head << body);
    DaemonFixture fixture(manyDescriptors, head, body);
    checkWithCrowd(fixture, 20, [](CrowdCaller &caller) {
        if (caller.send(requestLine("/endless/x", 0) + "\r\n")) {
            caller.receive(16);
        }
    });
}

// Guards against bounds that an ordinary caller within the limits meets.
TEST_CASE("the longest body and long answers are served within the bounds")
{
    DaemonFixture fixture;
    TestClient client(fixture.callerAddress());
    const Headers headers {{"Host", "h"}, {"Request-Id", "l"}, {"Deadline-Ms", "60000"}};
    for (int i = 0; i < 3; ++i) {
        CHECK(client.call("POST", "/one/x", std::string(maxBodyBytes, 'x'), headers).status()
              == 200);
        CHECK(client.call("GET", "/long/x", "", headers).body.size() == longAnswerBytes);
    }
    fixture.checkBounds();
}
