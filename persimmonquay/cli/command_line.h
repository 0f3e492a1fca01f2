// Parsing of the command line.
#ifndef PERSIMMONQUAY_CLI_COMMAND_LINE_H
#define PERSIMMONQUAY_CLI_COMMAND_LINE_H

#include <absl/status/statusor.h>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>
#include <string>
#include <vector>

namespace persimmonquay {

/// Description of a command for parsing and help.
struct CommandInfo {
  /// One or two words, for example "config publish".
  std::string Name;
  std::string Summary;
  std::string Example;
  /// Names of the options that can also be given as positional arguments, in
  /// order. They are required.
  std::vector<std::string> Positional;
};

/// Result of parsing: a command with its options, or a help text to print.
struct ParsedCommand {
  std::string Name;
  boost::program_options::variables_map Options;
  /// Empty unless help was requested.
  std::string HelpText;
};

const std::vector<CommandInfo> &commands();

/// Parses the command line without the program's name. Returns InvalidArgument,
/// naming the offending argument and, for an unknown command or option, the
/// most similar known one.
absl::StatusOr<ParsedCommand>
parseCommandLine(const std::vector<std::string> &Arguments);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_CLI_COMMAND_LINE_H
