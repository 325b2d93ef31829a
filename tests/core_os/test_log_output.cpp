#include "core/os/log_output.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>

using namespace lagoondeck;

namespace {

constexpr std::size_t bufferBytes = 64 * 1024;

struct Pipe
{
    Pipe() { REQUIRE(::pipe(this->ends.data()) == 0); }
    ~Pipe()
    {
        ::close(this->ends[0]);
        ::close(this->ends[1]);
    }

    std::string read()
    {
        ::fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
        std::string all;
        std::array<char, 4096> buffer;
        for (ssize_t count = 0;
             (count = ::read(this->ends[0], buffer.data(), buffer.size())) > 0;) {
            all.append(buffer.data(), static_cast<std::size_t>(count));
        }
        return all;
    }

    std::array<int, 2> ends {};
};

} // namespace

TEST_CASE("Lines are written complete and in order")
{
    Pipe pipe;
    LogOutput output(pipe.ends[1], bufferBytes);
    std::string expected;
    for (int i = 0; i < 1000; ++i) {
        const std::string line = "line " + std::to_string(i);
        REQUIRE(output.write(LogClass::Problem, line));
        expected += line + "\n";
    }
    std::string all;
    while (output.hasPending()) {
        output.flush();
        all += pipe.read();
    }
    CHECK(all == expected);
    CHECK(output.buffered() == 0);
}

TEST_CASE("A log that is not read neither blocks the writer nor grows beyond its buffer size")
{
    Pipe pipe;
    LogOutput output(pipe.ends[1], bufferBytes);
    const auto begin = std::chrono::steady_clock::now();
    const std::string line(200, 'x');
    std::uint64_t kept = 0;
    for (int i = 0; i < 20000; ++i) {
        const auto kind = static_cast<LogClass>(i % 3);
        kept += output.write(kind, line) ? 1 : 0;
        output.flush();
    }
    CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds(2));
    CHECK(output.buffered() <= bufferBytes);
    const auto &dropped = output.dropped();
    CHECK(kept + dropped[0] + dropped[1] + dropped[2] == 20000);
    // The lines of failed or late requests are dropped last.
    CHECK(dropped[0] > 0);
    CHECK(dropped[2] < dropped[0]);
}
