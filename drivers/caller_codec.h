#pragma once

#include "core/answer.h"
#include "logic/events.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace lagoondeck {

struct FieldProblem;

/// Parses the body of POST /v1/queries/{entry}. Fails with MalformedInput or InvalidInput.
boost::leaf::result<CallerRequest> parseCallerRequest(std::string_view body);

/// Writes an answer as the JSON body that docs/API.md describes.
std::string writeAnswer(const RequestId &requestId, const Answer &answer);

/// Writes the JSON body that refuses an unreadable request and lists each invalid field.
std::string writeBadRequest(const std::vector<FieldProblem> &problems);

/// Returns the HTTP status for an answer.
int httpStatusOf(const Answer &answer);

} // namespace lagoondeck
