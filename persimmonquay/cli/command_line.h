// The command line: finding the command and its options.
#ifndef PERSIMMONQUAY_CLI_COMMAND_LINE_H
#define PERSIMMONQUAY_CLI_COMMAND_LINE_H

#include <absl/status/statusor.h>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>
#include <string>
#include <vector>

namespace persimmonquay {

/// A command of the program.
struct CommandInfo {
  /// One or two words, for example "config publish".
  std::string Name;
  std::string Purpose;
  std::string Example;
  /// Names of the arguments that have no option name.
  std::vector<std::string> Positional;
};

/// What the user asked for.
struct ParsedCommand {
  std::string Name;
  boost::program_options::variables_map Options;
  /// Set when help was asked for; the text to print.
  std::string Help;
};

/// Returns all commands.
const std::vector<CommandInfo> &commands();

/// Parses the words after the program's name. Returns InvalidArgument that
/// names the wrong word and the nearest known one.
absl::StatusOr<ParsedCommand>
parseCommandLine(const std::vector<std::string> &Words);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_CLI_COMMAND_LINE_H
