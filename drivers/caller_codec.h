#pragma once

#include "core/answer.h"
#include "logic/events.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace lagoondeck {

struct FieldProblem;

/// Reads the body of POST /v1/queries/{entry}. Fails with MalformedInput or InvalidInput.
boost::leaf::result<CallerRequest> parseCallerRequest(std::string_view body);

/// Writes the answer to a request as docs/API.md says.
std::string writeAnswer(const RequestId &requestId, const Answer &answer);

/// Writes a refusal of a request that could not be read, each wrong field named.
std::string writeBadRequest(const std::vector<FieldProblem> &problems);

/// The HTTP status of an answer.
int httpStatusOf(const Answer &answer);

} // namespace lagoondeck
