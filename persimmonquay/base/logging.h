// Structured logs as JSON lines on standard output, through Boost.Log. Logging
// never blocks: lines are dropped while the reader stalls.
#ifndef PERSIMMONQUAY_BASE_LOGGING_H
#define PERSIMMONQUAY_BASE_LOGGING_H

#include <absl/status/status.h>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace persimmonquay {

enum class LogLevel { Trace, Debug, Info, Warning, Error };

/// An additional field of a log line.
struct LogField {
  std::string_view Name;
  std::string Value;
};

/// Sets `Level` to the level named `Text`. Returns InvalidArgument, which lists
/// the levels, when there is none.
absl::Status parseLogLevel(std::string_view Text, LogLevel *Level);

/// Initializes logging for the process. Every line then contains `Node` and
/// `DataCentre`. Call once, before other threads log.
void initLogging(LogLevel MinLevel, const std::string &Node,
                 const std::string &DataCentre);

/// Sets the lowest level that is logged. Thread-safe.
void setLogLevel(LogLevel MinLevel);

/// Sets the configuration version that later lines contain. Thread-safe.
void setLoggedConfigVersion(std::uint64_t Version);

/// From now on lines are written by `flushLogs()`, which the event loop must
/// call often.
void deferLogWrites();

/// Writes the buffered lines that the reader accepts without blocking.
/// Thread-safe.
void flushLogs();

/// Returns how many lines have been dropped because the reader did not keep up.
std::uint64_t droppedLogLines();

/// Logs one line. Thread-safe.
void logLine(LogLevel Level, std::string_view Message,
             std::initializer_list<LogField> Fields = {});

} // namespace persimmonquay

#endif // PERSIMMONQUAY_BASE_LOGGING_H
