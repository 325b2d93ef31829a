#pragma once

#include "logic/effects.h"

#include <string>

namespace lagoondeck {

/// The text of a numbered event: `event=NUMBER name=NAME key=value ...`. A value with blanks,
/// quotes, equal signs or control characters is quoted and escaped, so that a line stays one line.
std::string formatLogLine(const WriteLog &log);

/// Writes a numbered event to the process's log with its severity.
void writeLog(const WriteLog &log);

} // namespace lagoondeck
