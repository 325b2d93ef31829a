#pragma once

#include "logic/effects.h"

#include <string>

namespace lagoondeck {

/// Returns the log line of an event: `event=NUMBER name=NAME key=value ...`. A value with blanks,
/// quotes, equal signs, backslashes or control characters is quoted and escaped, so that it can't
/// break the line or look like another field.
std::string formatLogLine(const WriteLog &log);

/// Writes an event to the process's log with the severity of its kind.
void writeLog(const WriteLog &log);

} // namespace lagoondeck
