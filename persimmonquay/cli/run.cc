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

constexpr Millis GracefulStop{30000};

ExitCode complain(const absl::Status &Status) {
  std::cerr << "persimmonquay: " << std::string(Status.message()) << "\n";
  switch (Status.code()) {
  case absl::StatusCode::kInvalidArgument:
  case absl::StatusCode::kNotFound:
    return ExitCode::Usage;
  case absl::StatusCode::kFailedPrecondition:
    return ExitCode::Refused;
  default:
    return ExitCode::Unreachable;
  }
}

/// The options that several commands share, already checked.
class Invocation {
public:
  explicit Invocation(const ParsedCommand &Command)
      : Options(Command.Options) {}

  std::string text(const std::string &Name) const {
    return this->Options[Name].as<std::string>();
  }
  unsigned number(const std::string &Name) const {
    return this->Options[Name].as<unsigned>();
  }
  bool has(const std::string &Name) const {
    return this->Options.contains(Name);
  }
  bool wantsJson() const { return this->text("output") == "json"; }
  OperatorClient client() const {
    return OperatorClient(this->text("node"),
                          std::chrono::seconds(this->number("timeout-s")));
  }
  const boost::program_options::variables_map &Options;
};

/// Prints a reply as JSON or as a table, or complains.
template <typename Reply>
ExitCode show(const Invocation &Asked, const absl::StatusOr<Reply> &Received,
              std::string (*Table)(const Reply &)) {
  if (!Received.ok())
    return complain(Received.status());
  if (Asked.wantsJson())
    std::cout << messageToJson(*Received, true) << "\n";
  else
    std::cout << Table(*Received);
  return ExitCode::Done;
}

ExitCode showVerdict(const Invocation &Asked,
                     const absl::StatusOr<proto::PublishReply> &Verdict) {
  if (!Verdict.ok())
    return complain(Verdict.status());
  if (Asked.wantsJson())
    std::cout << messageToJson(*Verdict, true) << "\n";
  else if (Verdict->accepted())
    std::cout << "accepted as version " << Verdict->version() << "\n";
  else
    std::cout << "rejected: " << Verdict->reason() << "\n";
  return Verdict->accepted() ? ExitCode::Done : ExitCode::Refused;
}

absl::Status readResources(const std::string &Path, proto::ResourceFile *File) {
  std::string Text;
  absl::Status Opened = readFile(Path, &Text);
  if (!Opened.ok())
    return Opened;
  return readCheckedJson(Text, Path, File);
}

ExitCode runNode(const Invocation &Asked) {
  const std::string Path = Asked.text("settings");
  std::string Text;
  proto::NodeSettings Settings;
  absl::Status Status = readFile(Path, &Text);
  if (Status.ok())
    Status = readSettings(Text, Path, &Settings);
  if (!Status.ok())
    return complain(Status);
  LogLevel Level = LogLevel::Info;
  (void)parseLogLevel(Settings.log_level(), &Level);
  initLogging(Level, Settings.node(), Settings.data_centre());
  // Signals are taken by this thread alone; all others inherit the mask.
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  Node Daemon(Settings);
  Status = Daemon.start();
  if (!Status.ok()) {
    complain(Status);
    // Threads of the parts already started end with the process.
    std::_Exit(static_cast<int>(ExitCode::Unreachable));
  }
  int Received = 0;
  sigwait(&Signals, &Received);
  Daemon.stop(GracefulStop);
  return ExitCode::Done;
}

ExitCode runSidecar(const Invocation &Asked) {
  return static_cast<ExitCode>(platform::runSidecar(
      Asked.has("settings") ? Asked.text("settings") : ""));
}

ExitCode runExplain(const Invocation &Asked) {
  const std::string Id = Asked.text("request");
  std::vector<RequestEvent> Events;
  if (!Asked.has("log")) {
    collectEvents(std::cin, Id, &Events);
  } else {
    for (const std::string &Path :
         Asked.Options["log"].as<std::vector<std::string>>()) {
      std::ifstream File(Path);
      if (!File)
        return complain(absl::NotFoundError(
            absl::StrCat("file \"", Path, "\" can't be opened")));
      collectEvents(File, Id, &Events);
    }
  }
  if (Events.empty()) {
    std::cerr << "persimmonquay: no line names request \"" << Id << "\"\n";
    return ExitCode::Refused;
  }
  std::cout << formatEvents(std::move(Events));
  return ExitCode::Done;
}

ExitCode runConfigCheck(const Invocation &Asked) {
  proto::ResourceFile File;
  const absl::Status Read = readResources(Asked.text("file"), &File);
  if (!Read.ok())
    return complain(Read);
  const proto::ConfigurationState Empty;
  const proto::Change Change =
      ChangeBuilder(Empty).writeChangedResources(File).build(wallNow());
  const absl::Status Checked = checkChange(Empty, Change);
  if (!Checked.ok()) {
    complain(Checked);
    return ExitCode::Usage;
  }
  std::cout << Asked.text("file") << ": " << File.services_size()
            << " services and " << File.routes_size() << " routes are valid\n";
  return ExitCode::Done;
}

ExitCode runConfigPublish(const Invocation &Asked) {
  proto::ResourceFile File;
  const absl::Status Read = readResources(Asked.text("file"), &File);
  if (!Read.ok())
    return complain(Read);
  OperatorClient Client = Asked.client();
  const auto State = Client.configuration();
  if (!State.ok())
    return complain(State.status());
  ChangeBuilder Builder(*State);
  Builder.author(Asked.text("author"))
      .comment(Asked.text("comment"))
      .writeChangedResources(File);
  if (Asked.has("remove-missing"))
    Builder.removeMissing(File);
  if (Builder.empty()) {
    std::cout << "nothing to change at version " << State->version() << "\n";
    return ExitCode::Done;
  }
  return showVerdict(Asked, Client.publish(Builder.build(wallNow())));
}

ExitCode runConfigShow(const Invocation &Asked) {
  return show(Asked, Asked.client().configuration(), &configurationTable);
}

ExitCode runConfigWatch(const Invocation &Asked) {
  const absl::Status Ended = Asked.client().watchConfiguration(
      [&](const proto::ConfigurationState &State) {
        if (Asked.wantsJson())
          std::cout << messageToJson(State, false) << std::endl;
        else
          std::cout << "version " << State.version() << std::endl;
      });
  return Ended.ok() ? ExitCode::Done : complain(Ended);
}

ExitCode exitOf(proto::MoveState State) {
  return State == proto::ACTIVE || State == proto::FINISHED ? ExitCode::Done
                                                            : ExitCode::Refused;
}

ExitCode watchMove(const Invocation &Asked, OperatorClient *Client) {
  proto::MoveState Last = proto::ACTIVE;
  const absl::Status Ended = Client->watchMove(
      Asked.text("name"), [&](const proto::MoveStatus &Status) {
        Last = Status.state();
        std::cout << (Asked.wantsJson() ? messageToJson(Status, false)
                                        : moveLine(Status))
                  << std::endl;
      });
  return Ended.ok() ? exitOf(Last) : complain(Ended);
}

ExitCode runMoveStart(const Invocation &Asked) {
  for (const char *Needed : {"service", "to", "due-in-s"})
    if (!Asked.has(Needed))
      return complain(absl::InvalidArgumentError(
          absl::StrCat("move start: \"--", Needed, "\" is missing")));
  OperatorClient Client = Asked.client();
  const auto State = Client.configuration();
  if (!State.ok())
    return complain(State.status());
  const auto Service = State->services().find(Asked.text("service"));
  if (Service == State->services().end())
    return complain(absl::FailedPreconditionError(absl::StrCat(
        "service \"", Asked.text("service"), "\" does not exist")));
  const WallTime Now = wallNow();
  proto::Move Move;
  Move.set_name(Asked.text("name"));
  Move.set_service(Asked.text("service"));
  Move.set_from_version(Service->second.service().active_version());
  Move.set_to_version(Asked.text("to"));
  Move.set_start_unix_ms(unixMillis(Now));
  Move.set_due_unix_ms(
      unixMillis(Now + std::chrono::seconds(Asked.number("due-in-s"))));
  Move.set_bake_ms(
      Millis(std::chrono::seconds(Asked.number("bake-s"))).count());
  Move.set_tolerated_errors_ppm(Asked.number("tolerated-errors-ppm"));
  const proto::Change Change =
      ChangeBuilder(*State).author(Asked.text("author")).move(Move).build(Now);
  const ExitCode Published = showVerdict(Asked, Client.publish(Change));
  if (Published != ExitCode::Done || !Asked.has("wait"))
    return Published;
  return watchMove(Asked, &Client);
}

ExitCode runMoveStatus(const Invocation &Asked) {
  const auto Status = Asked.client().move(Asked.text("name"));
  if (!Status.ok())
    return complain(Status.status());
  std::cout << (Asked.wantsJson() ? messageToJson(*Status, true)
                                  : moveLine(*Status))
            << "\n";
  return exitOf(Status->state());
}

ExitCode runMoveWatch(const Invocation &Asked) {
  OperatorClient Client = Asked.client();
  return watchMove(Asked, &Client);
}

ExitCode runMoveCancel(const Invocation &Asked) {
  proto::CancelRequest Request;
  Request.set_move(Asked.text("name"));
  Request.set_author(Asked.text("author"));
  Request.set_reason(Asked.text("reason"));
  return showVerdict(Asked, Asked.client().cancelMove(Request));
}

ExitCode runStatus(const Invocation &Asked) {
  return show(Asked, Asked.client().fleet(), &fleetTable);
}

ExitCode runDrain(const Invocation &Asked) {
  const auto Reply = Asked.client().drain(Asked.text("author"));
  if (!Reply.ok())
    return complain(Reply.status());
  if (Asked.wantsJson())
    std::cout << messageToJson(*Reply, true) << "\n";
  else
    std::cout << "draining; " << Reply->calls_in_flight()
              << " calls in flight\n";
  return ExitCode::Done;
}

ExitCode runAudit(const Invocation &Asked) {
  return show(Asked,
              Asked.client().audit(Asked.Options["from"].as<std::uint64_t>()),
              &auditTable);
}

using Runner = ExitCode (*)(const Invocation &);

const std::map<std::string, Runner> &runners() {
  static const std::map<std::string, Runner> All = {
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
  return All;
}

absl::Status checkOutput(const ParsedCommand &Command) {
  if (!Command.Options.contains("output"))
    return absl::OkStatus();
  const auto &Output = Command.Options["output"].as<std::string>();
  if (Output == "table" || Output == "json")
    return absl::OkStatus();
  return absl::InvalidArgumentError(
      absl::StrCat("--output is \"", Output, "\", not table or json"));
}

} // namespace internal

int runCommandLine(const std::vector<std::string> &Words) {
  const auto Command = parseCommandLine(Words);
  if (!Command.ok())
    return static_cast<int>(internal::complain(Command.status()));
  if (!Command->Help.empty()) {
    std::cout << Command->Help;
    return static_cast<int>(ExitCode::Done);
  }
  const absl::Status Output = internal::checkOutput(*Command);
  if (!Output.ok())
    return static_cast<int>(internal::complain(Output));
  const internal::Runner Run = internal::runners().at(Command->Name);
  return static_cast<int>(Run(internal::Invocation(*Command)));
}

} // namespace persimmonquay
