#include "drivers/store_codec.h"

#include "core/errors.h"
#include "core/field_reader.h"
#include "core/json_input.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>
#include <boost/leaf/error.hpp>
#include <charconv>
#include <chrono>
#include <iterator>
#include <optional>
#include <sstream>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

using Json = nlohmann::json;

std::string encodeBase64(const std::string &bytes)
{
    std::ostringstream text;
    Poco::Base64Encoder encoder(text);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return text.str();
}

std::optional<std::string> decodeBase64(const std::string &text)
{
    std::istringstream in(text);
    Poco::Base64Decoder decoder(in);
    try {
        std::streambuf &buffer = *decoder.rdbuf();
        return std::string {std::istreambuf_iterator<char>(&buffer),
                            std::istreambuf_iterator<char>()};
    } catch (const Poco::Exception &) {
        return std::nullopt;
    }
}

Json rangeToJson(const StoreRange &range)
{
    Json json {{"key", encodeBase64(range.key)}};
    if (!range.rangeEnd.empty()) {
        json["range_end"] = encodeBase64(range.rangeEnd);
    }
    return json;
}

Json putToJson(const StorePut &put)
{
    Json json {{"key", encodeBase64(put.key)}, {"value", encodeBase64(put.value)}};
    if (put.lease != 0) {
        json["lease"] = std::to_string(put.lease);
    }
    return json;
}

Json requestToJson(const StoreRange &range)
{
    return rangeToJson(range);
}

Json requestToJson(const StoreTransaction &transaction)
{
    Json json {{"compare", Json::array()}, {"success", Json::array()}, {"failure", Json::array()}};
    for (const StoreCompare &compare : transaction.compares) {
        json["compare"].push_back({{"key", encodeBase64(compare.key)},
                                   {"target", "MOD"},
                                   {"result", "EQUAL"},
                                   {"mod_revision", std::to_string(compare.modRevision)}});
    }
    for (const StorePut &put : transaction.puts) {
        json["success"].push_back({{"request_put", putToJson(put)}});
    }
    for (const std::string &key : transaction.deletes) {
        json["success"].push_back({{"request_delete_range", {{"key", encodeBase64(key)}}}});
    }
    for (const StoreRange &range : transaction.readsOnFailure) {
        json["failure"].push_back({{"request_range", rangeToJson(range)}});
    }
    return json;
}

Json requestToJson(const StoreLeaseGrant &grant)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(grant.timeToLive).count();
    return {{"TTL", std::to_string(std::max<std::int64_t>(seconds, 1))}};
}

Json requestToJson(const StoreWatch &watch)
{
    Json create = rangeToJson({watch.key, watch.rangeEnd});
    create["start_revision"] = std::to_string(watch.fromRevision);
    return {{"create_request", std::move(create)}};
}

/// Reads the fields of the service's replies, in which a number may be encoded as a string.
class ReplyReader
{
public:
    ReplyReader(const Json &json, std::vector<FieldProblem> &problems, std::string prefix)
        : fields(json, problems, std::move(prefix))
    { }

    template <typename Number>
    void readNumber(const char *name, Number &value)
    {
        const Json *field = this->fields.find(name);
        if (field == nullptr) {
            return;
        }
        const std::string text = field->is_string() ? field->get<std::string>() : field->dump();
        const char *end = text.data() + text.size();
        const auto [rest, error] = std::from_chars(text.data(), end, value);
        if (text.empty() || error != std::errc() || rest != end) {
            this->fields.addProblem(name, FieldProblemKind::WrongType, "expected an integer");
        }
    }

    void readBytes(const char *name, std::string &value)
    {
        std::string text;
        this->fields.read(name, text);
        if (auto decoded = decodeBase64(text)) {
            value = std::move(*decoded);
        } else {
            this->fields.addProblem(name, FieldProblemKind::BadFormat, "expected base64");
        }
    }

    /// Returns an array field; an empty array when the field is absent or not an array.
    const Json &findArray(const char *name)
    {
        static const Json empty = Json::array();
        const Json *field = this->fields.find(name);
        if (field == nullptr) {
            return empty;
        }
        if (!field->is_array()) {
            this->fields.addProblem(name, FieldProblemKind::WrongType, "expected an array");
            return empty;
        }
        return *field;
    }

    FieldReader fields;
};

std::string elementPath(const std::string &prefix, const char *name, std::size_t index)
{
    return prefix + name + "[" + std::to_string(index) + "].";
}

StoreKeyValue readKeyValue(const Json &json, std::vector<FieldProblem> &problems,
                           const std::string &prefix)
{
    StoreKeyValue value;
    ReplyReader reader(json, problems, prefix);
    reader.fields.require({"key"});
    reader.readBytes("key", value.key);
    reader.readBytes("value", value.value);
    reader.readNumber("mod_revision", value.modRevision);
    reader.readNumber("create_revision", value.createRevision);
    return value;
}

void readKeyValues(ReplyReader &reader, std::vector<FieldProblem> &problems,
                   const std::string &prefix, StoreReply &reply)
{
    const Json &values = reader.findArray("kvs");
    for (std::size_t i = 0; i < values.size(); ++i) {
        reply.values.push_back(readKeyValue(values[i], problems, elementPath(prefix, "kvs", i)));
    }
}

void readHeader(ReplyReader &reader, std::vector<FieldProblem> &problems, const std::string &prefix,
                StoreReply &reply)
{
    if (const Json *header = reader.fields.find("header")) {
        ReplyReader headerReader(*header, problems, prefix + "header.");
        headerReader.readNumber("revision", reply.storeRevision);
    }
}

void readResponses(ReplyReader &reader, std::vector<FieldProblem> &problems, StoreReply &reply)
{
    const Json &responses = reader.findArray("responses");
    for (std::size_t i = 0; i < responses.size(); ++i) {
        const std::string prefix = elementPath("", "responses", i);
        FieldReader element(responses[i], problems, prefix);
        if (const Json *range = element.find("response_range")) {
            ReplyReader rangeReader(*range, problems, prefix + "response_range.");
            readKeyValues(rangeReader, problems, prefix + "response_range.", reply);
        }
    }
}

void readEvents(ReplyReader &reader, std::vector<FieldProblem> &problems, StoreReply &reply)
{
    const Json &events = reader.findArray("events");
    for (std::size_t i = 0; i < events.size(); ++i) {
        const std::string prefix = elementPath("result.", "events", i);
        FieldReader event(events[i], problems, prefix);
        event.require({"kv"});
        std::string type = "PUT";
        event.read("type", type);
        const Json *json = event.find("kv");
        if (json == nullptr) {
            continue;
        }
        StoreKeyValue value = readKeyValue(*json, problems, prefix + "kv.");
        if (type == "DELETE") {
            reply.deletedKeys.push_back(std::move(value.key));
        } else {
            reply.values.push_back(std::move(value));
        }
    }
}

leaf::result<StoreReply> replyOrInvalidInput(StoreReply reply, std::vector<FieldProblem> problems)
{
    if (!problems.empty()) {
        return leaf::new_error(InvalidInput {std::move(problems)});
    }
    return reply;
}

} // namespace

std::string storePath(const StoreRequest &request)
{
    if (std::holds_alternative<StoreRange>(request)) {
        return "/v3/kv/range";
    }
    if (std::holds_alternative<StoreTransaction>(request)) {
        return "/v3/kv/txn";
    }
    return std::holds_alternative<StoreLeaseGrant>(request) ? "/v3/lease/grant" : "/v3/watch";
}

std::string writeStoreRequest(const StoreRequest &request)
{
    return std::visit([](const auto &body) { return requestToJson(body).dump(); }, request);
}

leaf::result<StoreReply> parseStoreReply(const StoreRequest &request, std::string_view text)
{
    BOOST_LEAF_AUTO(json, parseJson(text));
    StoreReply reply;
    std::vector<FieldProblem> problems;
    ReplyReader reader(json, problems, "");
    readHeader(reader, problems, "", reply);
    if (std::holds_alternative<StoreRange>(request)) {
        readKeyValues(reader, problems, "", reply);
    } else if (std::holds_alternative<StoreTransaction>(request)) {
        reader.fields.read("succeeded", reply.succeeded);
        readResponses(reader, problems, reply);
    } else {
        reader.fields.require({"ID"});
        reader.readNumber("ID", reply.lease);
    }
    return replyOrInvalidInput(std::move(reply), std::move(problems));
}

leaf::result<StoreReply> parseWatchBatch(std::string_view line)
{
    BOOST_LEAF_AUTO(json, parseJson(line));
    StoreReply reply;
    std::vector<FieldProblem> problems;
    FieldReader outer(json, problems);
    outer.require({"result"});
    if (const Json *result = outer.find("result")) {
        ReplyReader reader(*result, problems, "result.");
        readHeader(reader, problems, "result.", reply);
        reader.fields.read("canceled", reply.watchEnded);
        readEvents(reader, problems, reply);
    }
    return replyOrInvalidInput(std::move(reply), std::move(problems));
}

} // namespace lagoondeck
