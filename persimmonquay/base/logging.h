// Structured logs as JSON lines on standard output, through Boost.Log. A
// reader that stalls costs lines, never time.
#ifndef PERSIMMONQUAY_BASE_LOGGING_H
#define PERSIMMONQUAY_BASE_LOGGING_H

#include <absl/status/status.h>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace persimmonquay {

enum class LogLevel { Trace, Debug, Info, Warning, Error };

/// One named value of a log line.
struct LogField {
  std::string_view Name;
  std::string Value;
};

/// Returns the level named `Text`, or InvalidArgument that lists the levels.
absl::Status parseLogLevel(std::string_view Text, LogLevel *Level);

/// Sets up the process's logs. Every line then carries `Node` and
/// `DataCentre`. Call once, before other threads log.
void initLogging(LogLevel Lowest, const std::string &Node,
                 const std::string &DataCentre);

/// Sets the lowest level that is written. Thread-safe.
void setLogLevel(LogLevel Lowest);

/// Sets the configuration version that the following lines carry. Thread-safe.
void setLoggedConfigVersion(std::uint64_t Version);

/// Leaves writing to `flushLogs()`, which an event loop calls often.
void deferLogWrites();

/// Writes the lines that the reader takes now. Thread-safe.
void flushLogs();

/// Returns how many lines were dropped since the reader took none.
std::uint64_t droppedLogLines();

/// Writes one line. Thread-safe.
void logLine(LogLevel Level, std::string_view Message,
             std::initializer_list<LogField> Fields = {});

} // namespace persimmonquay

#endif // PERSIMMONQUAY_BASE_LOGGING_H
