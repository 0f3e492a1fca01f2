#include "persimmonquay/cli/command_line.h"

#include "persimmonquay/base/checked_json.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/program_options.hpp>
#include <sstream>

namespace persimmonquay {
namespace internal {

namespace options = boost::program_options;

options::options_description optionsFor(const std::string &Command) {
  options::options_description Result("Options");
  auto Add = Result.add_options();
  Add("help", "print this help");
  if (Command == "node") {
    Add("settings", options::value<std::string>(),
        "settings file, JSON with comments");
    return Result;
  }
  if (Command == "sidecar") {
    Add("settings", options::value<std::string>(),
        "settings file, JSON with comments; default: the file that the "
        "platform provides");
    return Result;
  }
  if (Command == "explain") {
    Add("request", options::value<std::string>(), "id of the request");
    Add("log", options::value<std::vector<std::string>>(),
        "log file, of one or more nodes; may be repeated; default: standard "
        "input");
    return Result;
  }
  if (Command == "config check") {
    Add("file", options::value<std::string>(), "file of services and routes");
    return Result;
  }
  Add("node", options::value<std::string>()->default_value("127.0.0.1:7400"),
      "operator address of any node, IP:port");
  Add("output", options::value<std::string>()->default_value("table"),
      "table or json");
  Add("timeout-s", options::value<unsigned>()->default_value(15),
      "timeout for a reply, in seconds");
  Add("author", options::value<std::string>()->default_value("operator"),
      "author recorded in the audit trail");
  if (Command == "config publish") {
    Add("file", options::value<std::string>(), "file of services and routes");
    Add("comment", options::value<std::string>()->default_value(""),
        "reason recorded in the audit trail");
    Add("remove-missing",
        "also remove services and routes that are not in the file");
  }
  if (Command == "move start") {
    Add("name", options::value<std::string>(), "name of the move");
    Add("service", options::value<std::string>(), "service to move");
    Add("to", options::value<std::string>(), "version to move to");
    Add("due-in-s", options::value<unsigned>(),
        "time until the move must be finished, bake time included, in seconds");
    Add("bake-s", options::value<unsigned>()->default_value(60),
        "time at the last step of the move before it is finished, in seconds");
    Add("tolerated-errors-ppm", options::value<unsigned>()->default_value(0),
        "error rate below which the new version is never judged bad, in errors "
        "per million calls; 0 means 5000");
    Add("wait", "follow the move until it has ended");
  }
  if (Command == "move status" || Command == "move watch" ||
      Command == "move cancel")
    Add("name", options::value<std::string>(), "name of the move");
  if (Command == "move cancel")
    Add("reason", options::value<std::string>()->default_value(""),
        "reason recorded in the audit trail");
  if (Command == "audit")
    Add("from", options::value<std::uint64_t>()->default_value(0),
        "first offset to show");
  return Result;
}

std::string usageText() {
  std::ostringstream Text;
  Text << "usage: persimmonquay COMMAND [OPTIONS]\n\nCommands:\n";
  for (const CommandInfo &Info : commands())
    Text << "  " << Info.Name << std::string(18 - Info.Name.size(), ' ')
         << Info.Summary << "\n";
  Text << "\nExit codes: 0 success, 1 rejected, rolled back or cancelled, "
          "2 usage error, 3 unreachable.\n"
          "\"persimmonquay COMMAND --help\" lists the options of a command.\n";
  return Text.str();
}

std::string commandHelp(const CommandInfo &Info) {
  std::ostringstream Text;
  Text << "usage: persimmonquay " << Info.Name << " [OPTIONS]";
  for (const std::string &Name : Info.Positional)
    Text << " [" << Name << "]";
  Text << "\n\n"
       << Info.Summary << "\n\n"
       << optionsFor(Info.Name) << "\nExample:\n  " << Info.Example << "\n";
  return Text.str();
}

const CommandInfo *findCommand(const std::vector<std::string> &Arguments,
                               std::size_t *WordCount) {
  for (std::size_t Count : {std::size_t{2}, std::size_t{1}}) {
    if (Arguments.size() < Count)
      continue;
    const std::string Name = Count == 2
                                 ? absl::StrCat(Arguments[0], " ", Arguments[1])
                                 : Arguments[0];
    for (const CommandInfo &Info : commands())
      if (Info.Name == Name) {
        *WordCount = Count;
        return &Info;
      }
  }
  return nullptr;
}

absl::Status unknownCommand(const std::vector<std::string> &Arguments) {
  std::vector<std::string> KnownCommands;
  for (const CommandInfo &Info : commands())
    KnownCommands.push_back(Info.Name);
  std::string Entered = Arguments[0];
  if (Arguments.size() > 1 && !Arguments[1].starts_with("-"))
    absl::StrAppend(&Entered, " ", Arguments[1]);
  std::string Nearest = nearestWord(Entered, KnownCommands);
  if (Nearest.empty())
    Nearest = nearestWord(Arguments[0], KnownCommands);
  std::string Message = absl::StrCat("unknown command \"", Entered, "\"");
  if (!Nearest.empty())
    absl::StrAppend(&Message, "; did you mean \"", Nearest, "\"?");
  return absl::InvalidArgumentError(Message);
}

/// Returns InvalidArgument naming the first unknown option, if any, and the
/// most similar known one.
absl::Status
checkOptionNames(const std::vector<std::string> &Arguments,
                 const options::options_description &KnownOptions) {
  std::vector<std::string> KnownNames;
  for (const auto &Option : KnownOptions.options())
    KnownNames.push_back(Option->long_name());
  for (const std::string &Argument : Arguments) {
    if (!Argument.starts_with("--"))
      continue;
    const std::string Name = Argument.substr(2, Argument.find('=') - 2);
    if (std::find(KnownNames.begin(), KnownNames.end(), Name) !=
        KnownNames.end())
      continue;
    std::string Message = absl::StrCat("unknown option \"--", Name, "\"");
    const std::string Nearest = nearestWord(Name, KnownNames);
    if (!Nearest.empty())
      absl::StrAppend(&Message, "; did you mean \"--", Nearest, "\"?");
    return absl::InvalidArgumentError(Message);
  }
  return absl::OkStatus();
}

} // namespace internal

const std::vector<CommandInfo> &commands() {
  static const std::vector<CommandInfo> AllCommands = {
      {"node",
       "Run the daemon next to an upstream.",
       "persimmonquay node --settings node.json",
       {"settings"}},
      {"sidecar",
       "Run the daemon next to an upstream on the platform.",
       "persimmonquay sidecar --settings sidecar.json",
       {}},
      {"explain",
       "Show the log lines about one request, sorted by time.",
       "persimmonquay explain 9c41d07be2a35f68 --log node-1.log --log "
       "node-2.log",
       {"request"}},
      {"config check",
       "Validate a file of services and routes.",
       "persimmonquay config check config.json",
       {"file"}},
      {"config publish",
       "Publish a file of services and routes.",
       "persimmonquay config publish config.json --node 10.0.0.1:7400",
       {"file"}},
      {"config show",
       "Show the active configuration.",
       "persimmonquay config show --output json",
       {}},
      {"config watch",
       "Show each configuration version when the node applies it.",
       "persimmonquay config watch",
       {}},
      {"move start",
       "Move a service to a new version.",
       "persimmonquay move start boards-v2 --service gallery --to v2 "
       "--due-in-s 1800 --wait",
       {"name"}},
      {"move status",
       "Show the progress of a move.",
       "persimmonquay move status boards-v2",
       {"name"}},
      {"move watch",
       "Follow a move until it is finished, rolled back or cancelled.",
       "persimmonquay move watch boards-v2",
       {"name"}},
      {"move cancel",
       "Cancel a move and return all traffic to the old version.",
       "persimmonquay move cancel boards-v2 --reason 'wrong build'",
       {"name"}},
      {"status",
       "Show all nodes as seen by one node.",
       "persimmonquay status --node 10.0.0.1:7400",
       {}},
      {"drain",
       "Make a node and its upstream stop accepting new calls.",
       "persimmonquay drain --node 10.0.0.1:7400",
       {}},
      {"audit",
       "Show who changed what, and whether it was accepted.",
       "persimmonquay audit --from 120",
       {}},
  };
  return AllCommands;
}

absl::StatusOr<ParsedCommand>
parseCommandLine(const std::vector<std::string> &Arguments) {
  ParsedCommand Parsed;
  if (Arguments.empty() || Arguments[0] == "--help" || Arguments[0] == "help") {
    Parsed.HelpText = internal::usageText();
    return Parsed;
  }
  std::size_t WordCount = 0;
  const CommandInfo *Info = internal::findCommand(Arguments, &WordCount);
  if (Info == nullptr)
    return internal::unknownCommand(Arguments);
  Parsed.Name = Info->Name;
  const std::vector<std::string> CommandArguments(
      Arguments.begin() + static_cast<std::ptrdiff_t>(WordCount),
      Arguments.end());
  const auto KnownOptions = internal::optionsFor(Info->Name);
  const absl::Status NamesStatus =
      internal::checkOptionNames(CommandArguments, KnownOptions);
  if (!NamesStatus.ok())
    return NamesStatus;
  namespace options = boost::program_options;
  options::positional_options_description Positional;
  for (const std::string &Name : Info->Positional)
    Positional.add(Name.c_str(), 1);
  try {
    options::store(options::command_line_parser(CommandArguments)
                       .options(KnownOptions)
                       .positional(Positional)
                       .run(),
                   Parsed.Options);
    options::notify(Parsed.Options);
  } catch (const options::error &Error) {
    return absl::InvalidArgumentError(
        absl::StrCat(Info->Name, ": ", Error.what()));
  }
  if (Parsed.Options.contains("help")) {
    Parsed.HelpText = internal::commandHelp(*Info);
    return Parsed;
  }
  for (const std::string &Name : Info->Positional)
    if (!Parsed.Options.contains(Name))
      return absl::InvalidArgumentError(absl::StrCat(
          Info->Name, ": \"", Name, "\" is missing; example: ", Info->Example));
  return Parsed;
}

} // namespace persimmonquay
