#include "core/value_compression.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>
#include <string>

using namespace lagoondeck;

TEST_CASE("a compressed value is restored")
{
    rc::prop("decompress(compress(x)) == x", [] {
        const auto bytes = *rc::gen::nonEmpty<std::string>();
        RC_ASSERT(decompress(compress(bytes), 1 << 20) == bytes);
    });
    const std::string repetitive(100'000, 'x');
    CHECK(compress(repetitive).size() < 1000);
    CHECK(decompress(compress(repetitive), 100'000) == repetitive);
}

// Guards against a small message that takes all memory.
TEST_CASE("a value that would be larger than allowed is refused")
{
    CHECK_FALSE(decompress(compress(std::string(100'000, 'x')), 99'999));
}

TEST_CASE("malformed bytes are refused")
{
    CHECK_FALSE(decompress("no compressed value", 1000));
    CHECK_FALSE(decompress("", 1000));
    CHECK_FALSE(decompress(compress("some text").substr(0, 5), 1000));
}
