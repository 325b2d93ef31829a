#pragma once

#include "core/http_message.h"

#include <cstddef>
#include <memory>
#include <string>

namespace lagoondeck {

/// How far a message has been read.
enum class ReadState {
    Incomplete,
    Complete,
    Malformed,
    HeaderTooLong,
    BodyTooLong,
};

/// Reads HTTP messages from a growing buffer, strictly and one at a time.
class HttpReader
{
public:
    enum class Kind { Request, Reply };

    HttpReader(Kind kind, std::size_t headerBytes, std::size_t bodyBytes);
    ~HttpReader();

    /// Takes what it can from the buffer's front. A reply to HEAD has no body.
    ReadState read(std::string &buffer);
    /// The connection has ended; a reply without a length is complete then.
    ReadState finish();
    /// The message that is complete; the reader begins anew.
    HttpMessage take();

    /// Some byte of the message has come.
    bool begun() const { return this->started; }
    /// The sender waits for a word before it sends the body.
    bool expectsContinue();
    /// The reply that is read next belongs to a HEAD request.
    void expectNoBody() { this->bodyless = true; }

private:
    struct Parser;

    void reset();

    Kind kind;
    std::size_t headerBytes;
    std::size_t bodyBytes;
    std::unique_ptr<Parser> parser;
    bool started = false;
    bool bodyless = false;
    bool continued = false;
};

} // namespace lagoondeck
