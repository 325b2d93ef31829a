#include "core/json_input.h"

#include "core/errors.h"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <fstream>
#include <iterator>
#include <set>
#include <utility>
#include <vector>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

/// Deeper nesting is refused, so that a hostile input can't exhaust the stack.
constexpr int maximumDepth = 64;

/// Walks over the bytes of a JSON text that stand outside of strings and comments.
class StructureScanner
{
public:
    explicit StructureScanner(std::string_view text) : text(text) { }

    /// The next such byte; a null byte at the end.
    char next()
    {
        while (this->at < this->text.size()) {
            const char c = this->text[this->at++];
            if (c == '"') {
                this->skipString();
            } else if (c == '/' && this->at < this->text.size()) {
                this->skipComment();
            } else {
                return c;
            }
        }
        return '\0';
    }

    bool atEnd() const { return this->at >= this->text.size(); }

private:
    void skipString()
    {
        while (this->at < this->text.size()) {
            const char c = this->text[this->at++];
            if (c == '"') {
                return;
            }
            this->at += c == '\\' ? 1 : 0;
        }
    }

    void skipComment()
    {
        const bool block = this->text[this->at] == '*';
        const std::string_view end = block ? "*/" : "\n";
        // A block comment's own star does not end it.
        const std::size_t found = this->text.find(end, this->at + (block ? 1 : 0));
        this->at = found == std::string_view::npos ? this->text.size() : found + end.size();
    }

    std::string_view text;
    std::size_t at = 0;
};

bool tooDeep(std::string_view text)
{
    int depth = 0;
    StructureScanner scanner(text);
    while (!scanner.atEnd()) {
        const char c = scanner.next();
        depth += c == '[' || c == '{' ? 1 : 0;
        depth -= c == ']' || c == '}' ? 1 : 0;
        if (depth > maximumDepth) {
            return true;
        }
    }
    return false;
}

/// The parser's message quotes the input, which may hold any bytes.
std::string printable(std::string text)
{
    std::ranges::replace_if(
            text, [](char c) { return c < ' ' || c > '~'; }, '?');
    return text;
}

/// The first name that stands twice in one object; empty when there is none.
std::string repeatedName(std::string_view text)
{
    using Event = nlohmann::json::parse_event_t;
    std::vector<std::set<std::string>> open;
    std::string repeated;
    const auto note = [&](int, Event event, nlohmann::json &parsed) {
        if (event == Event::object_start) {
            open.emplace_back();
        } else if (event == Event::object_end) {
            open.pop_back();
        } else if (event == Event::key && !open.back().insert(parsed.get<std::string>()).second) {
            repeated = parsed.get<std::string>();
        }
        return true;
    };
    const auto parsed = nlohmann::json::parse(text, note, false, true);
    return parsed.is_discarded() ? "" : repeated;
}

} // namespace

leaf::result<nlohmann::json> parseJson(std::string_view text)
{
    if (tooDeep(text)) {
        return leaf::new_error(MalformedInput {"nested too deep", 0});
    }
    try {
        return nlohmann::json::parse(text, nullptr, true, true);
    } catch (const nlohmann::json::parse_error &error) {
        return leaf::new_error(MalformedInput {printable(error.what()), error.byte});
    }
}

leaf::result<nlohmann::json> readJsonFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return leaf::new_error(FileUnreadable {path});
    }
    const std::string text {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    BOOST_LEAF_AUTO(json, parseJson(text));
    if (const std::string name = repeatedName(text); !name.empty()) {
        return leaf::new_error(MalformedInput {"the name " + printable(name) + " stands twice", 0});
    }
    return json;
}

} // namespace lagoondeck
