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

/// The maximum nesting depth. It keeps a hostile input from exhausting the stack.
constexpr int maxDepth = 64;

/// Iterates over the bytes of a JSON text that are outside strings and comments.
class StructureScanner
{
public:
    explicit StructureScanner(std::string_view text) : text(text) { }

    /// Returns the next byte, or a null byte at the end of the text.
    char next()
    {
        while (this->position < this->text.size()) {
            const char c = this->text[this->position++];
            if (c == '"') {
                this->skipString();
            } else if (c == '/' && this->position < this->text.size()) {
                this->skipComment();
            } else {
                return c;
            }
        }
        return '\0';
    }

    bool isAtEnd() const { return this->position >= this->text.size(); }

private:
    void skipString()
    {
        while (this->position < this->text.size()) {
            const char c = this->text[this->position++];
            if (c == '"') {
                return;
            }
            this->position += c == '\\' ? 1 : 0;
        }
    }

    void skipComment()
    {
        const bool block = this->text[this->position] == '*';
        const std::string_view end = block ? "*/" : "\n";
        // The star that opens a block comment is not part of its end.
        const std::size_t found = this->text.find(end, this->position + (block ? 1 : 0));
        this->position = found == std::string_view::npos ? this->text.size() : found + end.size();
    }

    std::string_view text;
    std::size_t position = 0;
};

bool isTooDeep(std::string_view text)
{
    int depth = 0;
    StructureScanner scanner(text);
    while (!scanner.isAtEnd()) {
        const char c = scanner.next();
        depth += c == '[' || c == '{' ? 1 : 0;
        depth -= c == ']' || c == '}' ? 1 : 0;
        if (depth > maxDepth) {
            return true;
        }
    }
    return false;
}

/// Replaces bytes that can't be printed. The parser's error message quotes the input, which may
/// contain any bytes.
std::string replaceUnprintable(std::string text)
{
    std::ranges::replace_if(
            text, [](char c) { return c < ' ' || c > '~'; }, '?');
    return text;
}

/// `describe` returns the text of the error for the parser's error, whose message quotes the input.
template <typename Describe>
leaf::result<nlohmann::json> parse(std::string_view text, const Describe &describe)
{
    if (isTooDeep(text)) {
        return leaf::new_error(MalformedInput {"nested too deep", 0});
    }
    try {
        return nlohmann::json::parse(text, nullptr, true, true);
    } catch (const nlohmann::json::parse_error &error) {
        return leaf::new_error(MalformedInput {describe(error), error.byte});
    } catch (const nlohmann::json::out_of_range &) {
        return leaf::new_error(MalformedInput {"a number is out of range", 0});
    }
}

/// Returns a name that occurs twice in one object, or an empty string when there is none.
std::string findDuplicateName(std::string_view text)
{
    using Event = nlohmann::json::parse_event_t;
    std::vector<std::set<std::string>> openObjects;
    std::string duplicate;
    const auto onParseEvent = [&](int, Event event, nlohmann::json &parsed) {
        if (event == Event::object_start) {
            openObjects.emplace_back();
        } else if (event == Event::object_end) {
            openObjects.pop_back();
        } else if (event == Event::key
                   && !openObjects.back().insert(parsed.get<std::string>()).second) {
            duplicate = parsed.get<std::string>();
        }
        return true;
    };
    const auto parsed = nlohmann::json::parse(text, onParseEvent, false, true);
    return parsed.is_discarded() ? "" : duplicate;
}

} // namespace

leaf::result<nlohmann::json> parseJson(std::string_view text)
{
    const auto describe = [](const nlohmann::json::parse_error &error) {
        return replaceUnprintable(error.what());
    };
    return parse(text, describe);
}

leaf::result<nlohmann::json> parseSecretJson(std::string_view text)
{
    const auto describe = [](const nlohmann::json::parse_error &error) {
        return "syntax error at byte " + std::to_string(error.byte);
    };
    return parse(text, describe);
}

leaf::result<nlohmann::json> readJsonFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return leaf::new_error(FileUnreadable {path});
    }
    const std::string text {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    BOOST_LEAF_AUTO(json, parseJson(text));
    if (const std::string name = findDuplicateName(text); !name.empty()) {
        return leaf::new_error(
                MalformedInput {"the name " + replaceUnprintable(name) + " stands twice", 0});
    }
    return json;
}

} // namespace lagoondeck
