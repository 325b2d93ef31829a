#include "drivers/log_writer.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;

TEST_CASE("A log line holds the event and its fields")
{
    CHECK(formatLogLine({LogEvent::CatalogueRevised, {{"revision", "7"}, {"name", "fit-check"}}})
          == "event=200 name=CatalogueRevised revision=7 name=fit-check");
    CHECK(formatLogLine({LogEvent::Stopped, {}}) == "event=102 name=Stopped");
}

TEST_CASE("A value in a log line can't break the line or forge a field")
{
    CHECK(formatLogLine({LogEvent::Stopped, {{"a", "x event=1"}}})
          == R"(event=102 name=Stopped a="x event=1")");
    CHECK(formatLogLine({LogEvent::Stopped, {{"a", "1\n2\t\"\\"}, {"b", ""}}})
          == R"(event=102 name=Stopped a="1\n2\x09\"\\" b="")");
}
