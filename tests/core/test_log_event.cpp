#include "core/log_event.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <set>
#include <sstream>
#include <string>

using namespace lagoondeck;

TEST_CASE("The page of log events lists every event with the name and meaning that the code has")
{
    std::ifstream page(LAGOONDECK_SOURCE_DIR "/docs/LOG_EVENTS.md");
    std::stringstream text;
    text << page.rdbuf();
    std::size_t rows = 0;
    for (std::string line; std::getline(text, line);) {
        rows += line.rfind("| ", 0) == 0 && std::isdigit(static_cast<unsigned char>(line[2])) != 0;
    }
    REQUIRE(rows == logEvents().size());
    for (const LogEventInfo &info : logEvents()) {
        const std::string start = "| " + std::to_string(static_cast<int>(info.event)) + " | "
                + std::string(info.name) + " |";
        INFO(start);
        CHECK(text.str().find(start) != std::string::npos);
        CHECK(text.str().find(std::string(info.meaning)) != std::string::npos);
    }
}

TEST_CASE("The numbers of log events are unique and ascending")
{
    std::set<int> seen;
    int last = 0;
    for (const LogEventInfo &info : logEvents()) {
        const int number = static_cast<int>(info.event);
        CHECK(number > last);
        CHECK(seen.insert(number).second);
        last = number;
    }
}
