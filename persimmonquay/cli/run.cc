#include "persimmonquay/cli/run.h"

#include "persimmonquay/base/checked_json.h"
#include "persimmonquay/base/logging.h"
#include "persimmonquay/cli/change_builder.h"
#include "persimmonquay/cli/command_line.h"
#include "persimmonquay/cli/exit_code.h"
#include "persimmonquay/cli/explain.h"
#include "persimmonquay/cli/operator_client.h"
#include "persimmonquay/cli/printing.h"
#include "persimmonquay/config/state_machine.h"
#include "persimmonquay/node/node.h"
#include "persimmonquay/node/settings.h"
#include "platform/sidecar_process.h"
#include "proto/settings.pb.h"
#include <absl/strings/str_cat.h>
#include <csignal>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <pthread.h>

namespace persimmonquay {
namespace internal {

constexpr Millis GracefulStopTimeout{30000};

ExitCode reportError(const absl::Status &Status) {
  std::cerr << "persimmonquay: " << std::string(Status.message()) << "\n";
  switch (Status.code()) {
  case absl::StatusCode::kInvalidArgument:
  case absl::StatusCode::kNotFound:
    return ExitCode::UsageError;
  case absl::StatusCode::kFailedPrecondition:
    return ExitCode::Failure;
  default:
    return ExitCode::Unreachable;
  }
}

/// Typed access to the validated options of a command.
class CommandOptions {
public:
  explicit CommandOptions(const ParsedCommand &Command)
      : Values(Command.Options) {}

  std::string getString(const std::string &Name) const {
    return this->Values[Name].as<std::string>();
  }
  unsigned getUnsigned(const std::string &Name) const {
    return this->Values[Name].as<unsigned>();
  }
  bool has(const std::string &Name) const {
    return this->Values.contains(Name);
  }
  bool wantsJson() const { return this->getString("output") == "json"; }
  OperatorClient client() const {
    return OperatorClient(this->getString("node"),
                          std::chrono::seconds(this->getUnsigned("timeout-s")));
  }
  const boost::program_options::variables_map &Values;
};

/// Prints a reply as JSON or as text, or reports its error.
template <typename Message>
ExitCode printReply(const CommandOptions &Options,
                    const absl::StatusOr<Message> &Reply,
                    std::string (*Format)(const Message &)) {
  if (!Reply.ok())
    return reportError(Reply.status());
  if (Options.wantsJson())
    std::cout << messageToJson(*Reply, true) << "\n";
  else
    std::cout << Format(*Reply);
  return ExitCode::Success;
}

ExitCode printPublishReply(const CommandOptions &Options,
                           const absl::StatusOr<proto::PublishReply> &Reply) {
  if (!Reply.ok())
    return reportError(Reply.status());
  if (Options.wantsJson())
    std::cout << messageToJson(*Reply, true) << "\n";
  else if (Reply->accepted())
    std::cout << "accepted as version " << Reply->version() << "\n";
  else
    std::cout << "rejected: " << Reply->reason() << "\n";
  return Reply->accepted() ? ExitCode::Success : ExitCode::Failure;
}

absl::Status readResourceFile(const std::string &Path,
                              proto::ResourceFile *File) {
  std::string Text;
  absl::Status Status = readFile(Path, &Text);
  if (!Status.ok())
    return Status;
  return readCheckedJson(Text, Path, File);
}

ExitCode runNode(const CommandOptions &Options) {
  const std::string Path = Options.getString("settings");
  std::string Text;
  proto::NodeSettings Settings;
  absl::Status Status = readFile(Path, &Text);
  if (Status.ok())
    Status = readSettings(Text, Path, &Settings);
  if (!Status.ok())
    return reportError(Status);
  LogLevel Level = LogLevel::Info;
  (void)parseLogLevel(Settings.log_level(), &Level);
  initLogging(Level, Settings.node(), Settings.data_centre());
  // Blocks the signals before the node starts its threads, which inherit the
  // mask, so that only sigwait below receives them.
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  Node Daemon(Settings);
  Status = Daemon.start();
  if (!Status.ok()) {
    reportError(Status);
    // Exits without destructors: threads that were already started end with the
    // process.
    std::_Exit(static_cast<int>(ExitCode::Unreachable));
  }
  int Signal = 0;
  sigwait(&Signals, &Signal);
  Daemon.stop(GracefulStopTimeout);
  return ExitCode::Success;
}

ExitCode runSidecar(const CommandOptions &Options) {
  return static_cast<ExitCode>(platform::runSidecar(
      Options.has("settings") ? Options.getString("settings") : ""));
}

ExitCode runExplain(const CommandOptions &Options) {
  const std::string Id = Options.getString("request");
  std::vector<RequestEvent> Events;
  if (!Options.has("log")) {
    collectEvents(std::cin, Id, &Events);
  } else {
    for (const std::string &Path :
         Options.Values["log"].as<std::vector<std::string>>()) {
      std::ifstream File(Path);
      if (!File)
        return reportError(absl::NotFoundError(
            absl::StrCat("file \"", Path, "\" can't be opened")));
      collectEvents(File, Id, &Events);
    }
  }
  if (Events.empty()) {
    std::cerr << "persimmonquay: no log lines found for request \"" << Id
              << "\"\n";
    return ExitCode::Failure;
  }
  std::cout << formatEvents(std::move(Events));
  return ExitCode::Success;
}

ExitCode runConfigCheck(const CommandOptions &Options) {
  proto::ResourceFile File;
  const absl::Status ReadStatus =
      readResourceFile(Options.getString("file"), &File);
  if (!ReadStatus.ok())
    return reportError(ReadStatus);
  const proto::ConfigurationState Empty;
  const proto::Change Change =
      ChangeBuilder(Empty).writeChangedResources(File).build(wallNow());
  const absl::Status CheckStatus = checkChange(Empty, Change);
  if (!CheckStatus.ok()) {
    reportError(CheckStatus);
    return ExitCode::UsageError;
  }
  std::cout << Options.getString("file") << ": " << File.services_size()
            << " services and " << File.routes_size() << " routes are valid\n";
  return ExitCode::Success;
}

ExitCode runConfigPublish(const CommandOptions &Options) {
  proto::ResourceFile File;
  const absl::Status ReadStatus =
      readResourceFile(Options.getString("file"), &File);
  if (!ReadStatus.ok())
    return reportError(ReadStatus);
  OperatorClient Client = Options.client();
  const auto State = Client.configuration();
  if (!State.ok())
    return reportError(State.status());
  ChangeBuilder Builder(*State);
  Builder.author(Options.getString("author"))
      .comment(Options.getString("comment"))
      .writeChangedResources(File);
  if (Options.has("remove-missing"))
    Builder.removeMissing(File);
  if (Builder.empty()) {
    std::cout << "nothing to change at version " << State->version() << "\n";
    return ExitCode::Success;
  }
  return printPublishReply(Options, Client.publish(Builder.build(wallNow())));
}

ExitCode runConfigShow(const CommandOptions &Options) {
  return printReply(Options, Options.client().configuration(),
                    &formatConfiguration);
}

ExitCode runConfigWatch(const CommandOptions &Options) {
  const absl::Status WatchStatus = Options.client().watchConfiguration(
      [&](const proto::ConfigurationState &State) {
        if (Options.wantsJson())
          std::cout << messageToJson(State, false) << std::endl;
        else
          std::cout << "version " << State.version() << std::endl;
      });
  return WatchStatus.ok() ? ExitCode::Success : reportError(WatchStatus);
}

ExitCode exitCodeFor(proto::MoveState State) {
  return State == proto::ACTIVE || State == proto::FINISHED ? ExitCode::Success
                                                            : ExitCode::Failure;
}

ExitCode watchMove(const CommandOptions &Options, OperatorClient *Client) {
  proto::MoveState LastState = proto::ACTIVE;
  const absl::Status WatchStatus = Client->watchMove(
      Options.getString("name"), [&](const proto::MoveStatus &Status) {
        LastState = Status.state();
        std::cout << (Options.wantsJson() ? messageToJson(Status, false)
                                          : formatMoveStatus(Status))
                  << std::endl;
      });
  return WatchStatus.ok() ? exitCodeFor(LastState) : reportError(WatchStatus);
}

ExitCode runMoveStart(const CommandOptions &Options) {
  for (const char *RequiredOption : {"service", "to", "due-in-s"})
    if (!Options.has(RequiredOption))
      return reportError(absl::InvalidArgumentError(
          absl::StrCat("move start: \"--", RequiredOption, "\" is missing")));
  OperatorClient Client = Options.client();
  const auto State = Client.configuration();
  if (!State.ok())
    return reportError(State.status());
  const auto Service = State->services().find(Options.getString("service"));
  if (Service == State->services().end())
    return reportError(absl::FailedPreconditionError(absl::StrCat(
        "service \"", Options.getString("service"), "\" does not exist")));
  const WallTime Now = wallNow();
  proto::Move Move;
  Move.set_name(Options.getString("name"));
  Move.set_service(Options.getString("service"));
  Move.set_from_version(Service->second.service().active_version());
  Move.set_to_version(Options.getString("to"));
  Move.set_start_unix_ms(unixMillis(Now));
  Move.set_due_unix_ms(
      unixMillis(Now + std::chrono::seconds(Options.getUnsigned("due-in-s"))));
  Move.set_bake_ms(
      Millis(std::chrono::seconds(Options.getUnsigned("bake-s"))).count());
  Move.set_tolerated_errors_ppm(Options.getUnsigned("tolerated-errors-ppm"));
  const proto::Change Change = ChangeBuilder(*State)
                                   .author(Options.getString("author"))
                                   .startMove(Move)
                                   .build(Now);
  const ExitCode PublishResult =
      printPublishReply(Options, Client.publish(Change));
  if (PublishResult != ExitCode::Success || !Options.has("wait"))
    return PublishResult;
  return watchMove(Options, &Client);
}

ExitCode runMoveStatus(const CommandOptions &Options) {
  const auto Status = Options.client().moveStatus(Options.getString("name"));
  if (!Status.ok())
    return reportError(Status.status());
  std::cout << (Options.wantsJson() ? messageToJson(*Status, true)
                                    : formatMoveStatus(*Status))
            << "\n";
  return exitCodeFor(Status->state());
}

ExitCode runMoveWatch(const CommandOptions &Options) {
  OperatorClient Client = Options.client();
  return watchMove(Options, &Client);
}

ExitCode runMoveCancel(const CommandOptions &Options) {
  proto::CancelRequest Request;
  Request.set_move(Options.getString("name"));
  Request.set_author(Options.getString("author"));
  Request.set_reason(Options.getString("reason"));
  return printPublishReply(Options, Options.client().cancelMove(Request));
}

ExitCode runStatus(const CommandOptions &Options) {
  return printReply(Options, Options.client().fleetStatus(), &formatFleet);
}

ExitCode runDrain(const CommandOptions &Options) {
  const auto Reply = Options.client().drain(Options.getString("author"));
  if (!Reply.ok())
    return reportError(Reply.status());
  if (Options.wantsJson())
    std::cout << messageToJson(*Reply, true) << "\n";
  else
    std::cout << "draining; " << Reply->calls_in_flight()
              << " calls in flight\n";
  return ExitCode::Success;
}

ExitCode runAudit(const CommandOptions &Options) {
  return printReply(
      Options,
      Options.client().audit(Options.Values["from"].as<std::uint64_t>()),
      &formatAudit);
}

using CommandHandler = ExitCode (*)(const CommandOptions &);

const std::map<std::string, CommandHandler> &commandHandlers() {
  static const std::map<std::string, CommandHandler> Handlers = {
      {"node", runNode},
      {"sidecar", runSidecar},
      {"explain", runExplain},
      {"config check", runConfigCheck},
      {"config publish", runConfigPublish},
      {"config show", runConfigShow},
      {"config watch", runConfigWatch},
      {"move start", runMoveStart},
      {"move status", runMoveStatus},
      {"move watch", runMoveWatch},
      {"move cancel", runMoveCancel},
      {"status", runStatus},
      {"drain", runDrain},
      {"audit", runAudit},
  };
  return Handlers;
}

absl::Status checkOutput(const ParsedCommand &Command) {
  if (!Command.Options.contains("output"))
    return absl::OkStatus();
  const auto &Output = Command.Options["output"].as<std::string>();
  if (Output == "table" || Output == "json")
    return absl::OkStatus();
  return absl::InvalidArgumentError(
      absl::StrCat("--output must be table or json, not \"", Output, "\""));
}

} // namespace internal

int runCommandLine(const std::vector<std::string> &Arguments) {
  const auto Command = parseCommandLine(Arguments);
  if (!Command.ok())
    return static_cast<int>(internal::reportError(Command.status()));
  if (!Command->HelpText.empty()) {
    std::cout << Command->HelpText;
    return static_cast<int>(ExitCode::Success);
  }
  const absl::Status OutputStatus = internal::checkOutput(*Command);
  if (!OutputStatus.ok())
    return static_cast<int>(internal::reportError(OutputStatus));
  const internal::CommandHandler Handler =
      internal::commandHandlers().at(Command->Name);
  return static_cast<int>(Handler(internal::CommandOptions(*Command)));
}

} // namespace persimmonquay
