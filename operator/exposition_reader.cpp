#include "operator/exposition_reader.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

namespace lagoondeck {

namespace {

/// Consumes text from the front of a line.
class Scanner
{
public:
    explicit Scanner(std::string_view text) : rest(text) { }

    bool consume(char c)
    {
        if (this->rest.empty() || this->rest.front() != c) {
            return false;
        }
        this->rest.remove_prefix(1);
        return true;
    }

    std::string_view consumeUntil(std::string_view delimiters)
    {
        const std::size_t end = std::min(this->rest.find_first_of(delimiters), this->rest.size());
        const std::string_view consumed = this->rest.substr(0, end);
        this->rest.remove_prefix(end);
        return consumed;
    }

    /// Returns the unescaped text up to the closing quote, or nothing when the quote is missing.
    std::optional<std::string> consumeQuotedString()
    {
        std::string text;
        while (!this->rest.empty()) {
            char c = this->rest.front();
            this->rest.remove_prefix(1);
            if (c == '"') {
                return text;
            }
            if (c == '\\' && !this->rest.empty()) {
                c = this->rest.front() == 'n' ? '\n' : this->rest.front();
                this->rest.remove_prefix(1);
            }
            text += c;
        }
        return std::nullopt;
    }

    std::string_view remaining() const { return this->rest; }

private:
    std::string_view rest;
};

bool consumeLabels(Scanner &scanner, std::map<std::string, std::string> &labels)
{
    while (!scanner.consume('}')) {
        std::string name(scanner.consumeUntil("="));
        if (!scanner.consume('=') || !scanner.consume('"')) {
            return false;
        }
        auto value = scanner.consumeQuotedString();
        if (!value) {
            return false;
        }
        labels[std::move(name)] = std::move(*value);
        scanner.consume(',');
    }
    return true;
}

std::optional<double> parseNumber(std::string_view text)
{
    if (text == "+Inf") {
        return std::numeric_limits<double>::infinity();
    }
    double value = 0.0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, value);
    return error == std::errc() && rest == end ? std::optional(value) : std::nullopt;
}

} // namespace

std::optional<MetricSample> parseMetricSample(std::string_view line)
{
    if (line.empty() || line.front() == '#') {
        return std::nullopt;
    }
    MetricSample sample;
    Scanner scanner(line);
    sample.name = scanner.consumeUntil("{ ");
    if (scanner.consume('{') && !consumeLabels(scanner, sample.labels)) {
        return std::nullopt;
    }
    if (sample.name.empty() || !scanner.consume(' ')) {
        return std::nullopt;
    }
    const auto value = parseNumber(scanner.remaining());
    if (!value) {
        return std::nullopt;
    }
    sample.value = *value;
    return sample;
}

void readMetricSamples(std::string_view page,
                       const std::function<void(const MetricSample &)> &onSample)
{
    while (!page.empty()) {
        const std::size_t end = std::min(page.find('\n'), page.size());
        if (const auto sample = parseMetricSample(page.substr(0, end))) {
            onSample(*sample);
        }
        page.remove_prefix(std::min(end + 1, page.size()));
    }
}

} // namespace lagoondeck
