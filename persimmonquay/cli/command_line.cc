#include "persimmonquay/cli/command_line.h"

#include "persimmonquay/base/checked_json.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/program_options.hpp>
#include <sstream>

namespace persimmonquay {
namespace internal {

namespace options = boost::program_options;

options::options_description optionsOf(const std::string &Command) {
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
        "settings file, JSON with comments; default: as the platform names it");
    return Result;
  }
  if (Command == "explain") {
    Add("request", options::value<std::string>(), "id of the request");
    Add("log", options::value<std::vector<std::string>>(),
        "file of log lines of one or more nodes; may be repeated; default: "
        "standard input");
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
      "longest wait for an answer, in seconds");
  Add("author", options::value<std::string>()->default_value("operator"),
      "name for the audit trail");
  if (Command == "config publish") {
    Add("file", options::value<std::string>(), "file of services and routes");
    Add("comment", options::value<std::string>()->default_value(""),
        "why, for the audit trail");
    Add("remove-missing", "remove what the file does not name");
  }
  if (Command == "move start") {
    Add("name", options::value<std::string>(), "name of the move");
    Add("service", options::value<std::string>(), "service to move");
    Add("to", options::value<std::string>(), "version to move to");
    Add("due-in-s", options::value<unsigned>(),
        "time until the move is to be finished, in seconds");
    Add("bake-s", options::value<unsigned>()->default_value(60),
        "time at full share before the move is finished, in seconds");
    Add("tolerated-errors-ppm", options::value<unsigned>()->default_value(0),
        "error rate never judged bad, per million; 0: 5000");
    Add("wait", "wait until the move has ended");
  }
  if (Command == "move status" || Command == "move watch" ||
      Command == "move cancel")
    Add("name", options::value<std::string>(), "name of the move");
  if (Command == "move cancel")
    Add("reason", options::value<std::string>()->default_value(""),
        "why, for the audit trail");
  if (Command == "audit")
    Add("from", options::value<std::uint64_t>()->default_value(0),
        "first offset to show");
  return Result;
}

std::string overview() {
  std::ostringstream Text;
  Text << "usage: persimmonquay COMMAND [OPTIONS]\n\nCommands:\n";
  for (const CommandInfo &Info : commands())
    Text << "  " << Info.Name << std::string(18 - Info.Name.size(), ' ')
         << Info.Purpose << "\n";
  Text << "\nExit codes: 0 done, 1 refused or taken back, 2 usage, "
          "3 can't reach.\n"
          "\"persimmonquay COMMAND --help\" tells the options of a command.\n";
  return Text.str();
}

std::string helpOf(const CommandInfo &Info) {
  std::ostringstream Text;
  Text << "usage: persimmonquay " << Info.Name << " [OPTIONS]";
  for (const std::string &Argument : Info.Positional)
    Text << " [" << Argument << "]";
  Text << "\n\n"
       << Info.Purpose << "\n\n"
       << optionsOf(Info.Name) << "\nExample:\n  " << Info.Example << "\n";
  return Text.str();
}

const CommandInfo *findCommand(const std::vector<std::string> &Words,
                               std::size_t *Used) {
  for (std::size_t Count : {std::size_t{2}, std::size_t{1}}) {
    if (Words.size() < Count)
      continue;
    const std::string Name =
        Count == 2 ? absl::StrCat(Words[0], " ", Words[1]) : Words[0];
    for (const CommandInfo &Info : commands())
      if (Info.Name == Name) {
        *Used = Count;
        return &Info;
      }
  }
  return nullptr;
}

absl::Status unknownCommand(const std::vector<std::string> &Words) {
  std::vector<std::string> Known;
  for (const CommandInfo &Info : commands())
    Known.push_back(Info.Name);
  std::string Asked = Words[0];
  if (Words.size() > 1 && !Words[1].starts_with("-"))
    absl::StrAppend(&Asked, " ", Words[1]);
  std::string Nearest = nearestWord(Asked, Known);
  if (Nearest.empty())
    Nearest = nearestWord(Words[0], Known);
  std::string Text = absl::StrCat("unknown command \"", Asked, "\"");
  if (!Nearest.empty())
    absl::StrAppend(&Text, "; did you mean \"", Nearest, "\"?");
  return absl::InvalidArgumentError(Text);
}

/// Names an option that does not exist, and the nearest one that does.
absl::Status checkOptionNames(const std::vector<std::string> &Words,
                              const options::options_description &Known) {
  std::vector<std::string> Names;
  for (const auto &Option : Known.options())
    Names.push_back(Option->long_name());
  for (const std::string &Word : Words) {
    if (!Word.starts_with("--"))
      continue;
    const std::string Name = Word.substr(2, Word.find('=') - 2);
    if (std::find(Names.begin(), Names.end(), Name) != Names.end())
      continue;
    std::string Text = absl::StrCat("unknown option \"--", Name, "\"");
    const std::string Nearest = nearestWord(Name, Names);
    if (!Nearest.empty())
      absl::StrAppend(&Text, "; did you mean \"--", Nearest, "\"?");
    return absl::InvalidArgumentError(Text);
  }
  return absl::OkStatus();
}

} // namespace internal

const std::vector<CommandInfo> &commands() {
  static const std::vector<CommandInfo> All = {
      {"node",
       "Run the daemon beside an upstream.",
       "persimmonquay node --settings node.json",
       {"settings"}},
      {"sidecar",
       "Run the daemon beside an upstream on the platform.",
       "persimmonquay sidecar --settings sidecar.json",
       {}},
      {"explain",
       "Show what nodes logged about one request, in order.",
       "persimmonquay explain 9c41d07be2a35f68 --log node-1.log --log "
       "node-2.log",
       {"request"}},
      {"config check",
       "Check a file of services and routes.",
       "persimmonquay config check config.json",
       {"file"}},
      {"config publish",
       "Publish a file of services and routes.",
       "persimmonquay config publish config.json --node 10.0.0.1:7400",
       {"file"}},
      {"config show",
       "Show the configuration in force.",
       "persimmonquay config show --output json",
       {}},
      {"config watch",
       "Show each configuration version as it is applied.",
       "persimmonquay config watch",
       {}},
      {"move start",
       "Move a service to a new version.",
       "persimmonquay move start boards-v2 --service gallery --to v2 "
       "--due-in-s 1800 --wait",
       {"name"}},
      {"move status",
       "Show how far a move has got.",
       "persimmonquay move status boards-v2",
       {"name"}},
      {"move watch",
       "Follow a move until it is done or taken back.",
       "persimmonquay move watch boards-v2",
       {"name"}},
      {"move cancel",
       "Return all traffic to the old version.",
       "persimmonquay move cancel boards-v2 --reason 'wrong build'",
       {"name"}},
      {"status",
       "Show the fleet as one node sees it.",
       "persimmonquay status --node 10.0.0.1:7400",
       {}},
      {"drain",
       "Stop new work at a node and its upstream.",
       "persimmonquay drain --node 10.0.0.1:7400",
       {}},
      {"audit",
       "Show who changed what, and the verdict.",
       "persimmonquay audit --from 120",
       {}},
  };
  return All;
}

absl::StatusOr<ParsedCommand>
parseCommandLine(const std::vector<std::string> &Words) {
  ParsedCommand Parsed;
  if (Words.empty() || Words[0] == "--help" || Words[0] == "help") {
    Parsed.Help = internal::overview();
    return Parsed;
  }
  std::size_t Used = 0;
  const CommandInfo *Info = internal::findCommand(Words, &Used);
  if (Info == nullptr)
    return internal::unknownCommand(Words);
  Parsed.Name = Info->Name;
  const std::vector<std::string> Rest(
      Words.begin() + static_cast<std::ptrdiff_t>(Used), Words.end());
  const auto Known = internal::optionsOf(Info->Name);
  const absl::Status Names = internal::checkOptionNames(Rest, Known);
  if (!Names.ok())
    return Names;
  namespace options = boost::program_options;
  options::positional_options_description Positional;
  for (const std::string &Argument : Info->Positional)
    Positional.add(Argument.c_str(), 1);
  try {
    options::store(options::command_line_parser(Rest)
                       .options(Known)
                       .positional(Positional)
                       .run(),
                   Parsed.Options);
    options::notify(Parsed.Options);
  } catch (const options::error &Error) {
    return absl::InvalidArgumentError(
        absl::StrCat(Info->Name, ": ", Error.what()));
  }
  if (Parsed.Options.contains("help")) {
    Parsed.Help = internal::helpOf(*Info);
    return Parsed;
  }
  for (const std::string &Argument : Info->Positional)
    if (!Parsed.Options.contains(Argument))
      return absl::InvalidArgumentError(
          absl::StrCat(Info->Name, ": \"", Argument,
                       "\" is missing; example: ", Info->Example));
  return Parsed;
}

} // namespace persimmonquay
