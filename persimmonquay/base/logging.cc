#include "persimmonquay/base/logging.h"

#include "persimmonquay/base/line_writer.h"
#include "persimmonquay/base/time.h"
#include <absl/strings/str_cat.h>
#include <array>
#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace persimmonquay {
namespace internal {

constexpr std::array<std::string_view, 5> LevelNames = {
    "trace", "debug", "info", "warning", "error"};

/// Bound on the lines that the reader of the log has not accepted yet; enough
/// for a few seconds of a busy node.
constexpr std::size_t MaxBufferedBytes = 262144;

LineWriter &lineWriter() {
  static LineWriter Writer(STDOUT_FILENO, MaxBufferedBytes);
  return Writer;
}

/// Passes Boost.Log's formatted records to the line writer. The line writer is
/// thread-safe, so the sink takes no lock of its own.
class LineSink : public boost::log::sinks::basic_formatted_sink_backend<
                     char, boost::log::sinks::concurrent_feeding> {
public:
  void consume(const boost::log::record_view &, const std::string &Line) {
    lineWriter().add(Line);
  }
};

struct LogContext {
  std::atomic<LogLevel> MinLevel = LogLevel::Trace;
  std::string Node;
  std::string DataCentre;
  std::atomic<std::uint64_t> ConfigVersion = 0;
};

LogContext &logContext() {
  static LogContext Context;
  return Context;
}

} // namespace internal

absl::Status parseLogLevel(std::string_view Text, LogLevel *Level) {
  for (std::size_t I = 0; I < internal::LevelNames.size(); ++I) {
    if (internal::LevelNames[I] != Text)
      continue;
    *Level = static_cast<LogLevel>(I);
    return absl::OkStatus();
  }
  return absl::InvalidArgumentError(
      absl::StrCat("log level \"", std::string(Text),
                   "\" is not one of trace, debug, info, warning, error"));
}

void initLogging(LogLevel MinLevel, const std::string &Node,
                 const std::string &DataCentre) {
  namespace logging = boost::log;
  internal::logContext().Node = Node;
  internal::logContext().DataCentre = DataCentre;
  internal::logContext().MinLevel = MinLevel;
  using Sink = logging::sinks::unlocked_sink<internal::LineSink>;
  const auto Frontend = boost::make_shared<Sink>();
  Frontend->set_formatter(logging::expressions::stream
                          << logging::expressions::smessage);
  logging::core::get()->add_sink(Frontend);
}

void setLogLevel(LogLevel MinLevel) {
  internal::logContext().MinLevel = MinLevel;
}

void deferLogWrites() { internal::lineWriter().deferWrites(); }

void flushLogs() { internal::lineWriter().flush(); }

std::uint64_t droppedLogLines() {
  return internal::lineWriter().droppedLines();
}

void setLoggedConfigVersion(std::uint64_t Version) {
  internal::logContext().ConfigVersion = Version;
}

void logLine(LogLevel Level, std::string_view Message,
             std::initializer_list<LogField> Fields) {
  thread_local boost::log::sources::severity_logger<int> Logger;
  const internal::LogContext &Context = internal::logContext();
  if (Level < Context.MinLevel.load())
    return;
  nlohmann::ordered_json Line;
  Line["unix_ms"] = unixMillis(wallNow());
  Line["level"] = internal::LevelNames[static_cast<std::size_t>(Level)];
  Line["node"] = Context.Node;
  Line["data_centre"] = Context.DataCentre;
  Line["config_version"] = Context.ConfigVersion.load();
  Line["message"] = Message;
  for (const LogField &Field : Fields)
    Line[std::string(Field.Name)] = Field.Value;
  BOOST_LOG_SEV(Logger, static_cast<int>(Level))
      << Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace persimmonquay
