#include "persimmonquay/cli/change_builder.h"
#include "persimmonquay/cli/command_line.h"
#include "persimmonquay/cli/exit_code.h"
#include "persimmonquay/cli/explain.h"
#include "persimmonquay/cli/printing.h"
#include "persimmonquay/cli/run.h"
#include <doctest/doctest.h>
#include <sstream>

namespace persimmonquay {
namespace {

std::string parseError(const std::vector<std::string> &Arguments) {
  return std::string(parseCommandLine(Arguments).status().message());
}

TEST_CASE(
    "the error for an unknown command or option names the most similar one") {
  CHECK(parseError({"config", "pubish"}) ==
        "unknown command \"config pubish\"; did you mean \"config publish\"?");
  CHECK(parseError({"audit", "--form", "3"}) ==
        "unknown option \"--form\"; did you mean \"--from\"?");
}

TEST_CASE("the error for a missing argument names it") {
  CHECK(parseError({"move", "cancel"}).find("\"name\" is missing") !=
        std::string::npos);
}

TEST_CASE("every command has help with an example") {
  for (const CommandInfo &Info : commands()) {
    std::vector<std::string> Arguments;
    const std::size_t Space = Info.Name.find(' ');
    Arguments.push_back(Info.Name.substr(0, Space));
    if (Space != std::string::npos)
      Arguments.push_back(Info.Name.substr(Space + 1));
    Arguments.emplace_back("--help");
    const auto Parsed = parseCommandLine(Arguments);
    REQUIRE(Parsed.ok());
    CHECK(Parsed->HelpText.find(Info.Example) != std::string::npos);
  }
}

TEST_CASE("exit codes distinguish usage errors from an unreachable node") {
  CHECK(runCommandLine({"nonsense"}) == static_cast<int>(ExitCode::UsageError));
  CHECK(runCommandLine({"status", "--node", "127.0.0.1:1", "--timeout-s",
                        "1"}) == static_cast<int>(ExitCode::Unreachable));
  CHECK(runCommandLine({"status", "--output", "xml"}) ==
        static_cast<int>(ExitCode::UsageError));
  CHECK(runCommandLine({"--help"}) == static_cast<int>(ExitCode::Success));
}

/// Returns a state with one service and one route.
proto::ConfigurationState stateWithOneRoute() {
  proto::ConfigurationState State;
  auto &Service = (*State.mutable_services())["s"];
  Service.set_version(4);
  Service.mutable_service()->set_name("s");
  Service.mutable_service()->set_active_version("v2");
  auto &Route = (*State.mutable_routes())["r"];
  Route.set_version(5);
  Route.mutable_route()->set_name("r");
  Route.mutable_route()->set_service("s");
  return State;
}

TEST_CASE(
    "a change holds only resources that differ, based on their versions") {
  const proto::ConfigurationState State = stateWithOneRoute();
  proto::ResourceFile File;
  *File.add_routes() = State.routes().at("r").route();
  *File.add_services() = State.services().at("s").service();
  File.mutable_services(0)->set_active_version("v1");
  CHECK(ChangeBuilder(State).writeChangedResources(File).empty());
  File.mutable_routes(0)->set_deadline_ms(9);
  const proto::Change Change =
      ChangeBuilder(State).author("ada").writeChangedResources(File).build(
          WallTime());
  REQUIRE(Change.writes_size() == 1);
  CHECK(Change.writes(0).based_on() == 5);
  CHECK(Change.author() == "ada");
  CHECK(Change.id().size() == 16);
}

TEST_CASE("resources missing in the file are removed only on request") {
  const proto::ConfigurationState State = stateWithOneRoute();
  const proto::ResourceFile Empty;
  CHECK(ChangeBuilder(State).writeChangedResources(Empty).empty());
  const proto::Change Change = ChangeBuilder(State)
                                   .writeChangedResources(Empty)
                                   .removeMissing(Empty)
                                   .build(WallTime());
  CHECK(Change.removals_size() == 2);
}

TEST_CASE("the status line of an ended move shows the outcome and reason") {
  proto::MoveStatus Status;
  Status.mutable_move()->set_name("m");
  Status.set_state(proto::TAKEN_BACK);
  Status.set_reason("it fails");
  CHECK(formatMoveStatus(Status).find("TAKEN BACK; it fails") !=
        std::string::npos);
  Status.set_state(proto::FINISHED);
  CHECK(formatMoveStatus(Status).find("done") != std::string::npos);
}

TEST_CASE("explain shows the log lines of one request sorted by time") {
  std::istringstream Log(
      "12.5 node-b {\"unix_ms\":1030,\"node\":\"b\",\"message\":\"call "
      "ended at the upstream\",\"request\":\"r1\",\"status\":\"200\"}\n"
      "no line of ours that names r1\n"
      "{\"unix_ms\":1000,\"node\":\"a\",\"message\":\"call is "
      "repeated\",\"request\":\"r1\"}\n"
      "{\"unix_ms\":1010,\"node\":\"a\",\"message\":\"call "
      "answered\",\"request\":\"r12\"}\n");
  std::vector<RequestEvent> Events;
  collectEvents(Log, "r1", &Events);
  REQUIRE(Events.size() == 2);
  const std::string Table = formatEvents(Events);
  CHECK(Table.find("call is repeated") < Table.find("call ended"));
  CHECK(Table.find("+30 ms") != std::string::npos);
  CHECK(Table.find("status=200") != std::string::npos);
}

} // namespace
} // namespace persimmonquay
