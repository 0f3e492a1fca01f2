#include "persimmonquay/config/state_machine.h"

#include "proto/configuration.pb.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <set>

namespace persimmonquay {
namespace internal {

using proto::ConfigurationState;

absl::Status invalid(const std::string &Reason) {
  return absl::InvalidArgumentError(Reason);
}

absl::Status conflict(const std::string &Reason) {
  return absl::FailedPreconditionError(Reason);
}

/// Returns the version of the resource `Name`; 0 when it does not exist.
template <typename Map>
std::uint64_t versionOf(const Map &Resources, const std::string &Name) {
  const auto Found = Resources.find(Name);
  return Found == Resources.end() ? 0 : Found->second.version();
}

/// Checks that a change is based on the current version of a resource.
absl::Status checkBaseVersion(std::string_view Kind, const std::string &Name,
                              std::uint64_t CurrentVersion,
                              std::uint64_t BaseVersion) {
  if (CurrentVersion == BaseVersion)
    return absl::OkStatus();
  return conflict(absl::StrCat(
      std::string(Kind), " \"", Name, "\" is at version ", CurrentVersion,
      ", but the change is based on version ", BaseVersion));
}

const proto::VersionedMove *activeMoveOf(const ConfigurationState &State,
                                         const std::string &Service) {
  for (const auto &[Name, Move] : State.moves())
    if (Move.state() == proto::ACTIVE && Move.move().service() == Service)
      return &Move;
  return nullptr;
}

absl::Status checkService(const ConfigurationState &State,
                          const proto::Service &Service) {
  if (Service.name().empty())
    return invalid("a service has no name");
  if (Service.active_version().empty())
    return invalid(
        absl::StrCat("service \"", Service.name(), "\" has no active_version"));
  const auto Current = State.services().find(Service.name());
  const bool ChangesVersion =
      Current != State.services().end() &&
      Current->second.service().active_version() != Service.active_version();
  if (ChangesVersion && activeMoveOf(State, Service.name()) != nullptr)
    return conflict(absl::StrCat("service \"", Service.name(),
                                 "\" has an active move, so its "
                                 "active_version can't be changed"));
  return absl::OkStatus();
}

absl::Status checkRoute(const proto::Route &Route) {
  if (Route.name().empty())
    return invalid("a route has no name");
  if (!Route.path_prefix().starts_with("/"))
    return invalid(absl::StrCat("route \"", Route.name(), "\": path_prefix \"",
                                Route.path_prefix(),
                                "\" does not start with /"));
  if (Route.deadline_ms() == 0)
    return invalid(
        absl::StrCat("route \"", Route.name(), "\" has no deadline_ms"));
  if (Route.priority() == proto::PRIORITY_UNSPECIFIED)
    return invalid(
        absl::StrCat("route \"", Route.name(), "\" has no priority"));
  return absl::OkStatus();
}

absl::Status checkMove(const ConfigurationState &State,
                       const proto::Move &Move) {
  const std::string Label = absl::StrCat("move \"", Move.name(), "\"");
  if (Move.name().empty())
    return invalid("a move has no name");
  if (Move.to_version().empty() || Move.to_version() == Move.from_version())
    return invalid(absl::StrCat(Label, " must name two different versions"));
  if (Move.bake_ms() < 0 ||
      Move.start_unix_ms() + Move.bake_ms() >= Move.due_unix_ms())
    return invalid(absl::StrCat(
        Label, ": due_unix_ms must be later than start_unix_ms plus bake_ms"));
  const auto Service = State.services().find(Move.service());
  if (Service == State.services().end())
    return conflict(absl::StrCat(Label, ": service \"", Move.service(),
                                 "\" does not exist"));
  const std::string &Active = Service->second.service().active_version();
  if (Active != Move.from_version())
    return conflict(absl::StrCat(Label, ": from_version is \"",
                                 Move.from_version(), "\", but service \"",
                                 Move.service(), "\" runs \"", Active, "\""));
  if (const auto *Other = activeMoveOf(State, Move.service()))
    return conflict(absl::StrCat(Label, ": service \"", Move.service(),
                                 "\" already has the active move \"",
                                 Other->move().name(), "\""));
  return absl::OkStatus();
}

absl::Status checkWrite(const ConfigurationState &State,
                        const proto::Write &Write) {
  const proto::Resource &Resource = Write.resource();
  absl::Status Status;
  switch (Resource.kind_case()) {
  case proto::Resource::kService: {
    const std::string &Name = Resource.service().name();
    Status = checkService(State, Resource.service());
    if (!Status.ok())
      return Status;
    return checkBaseVersion("service", Name, versionOf(State.services(), Name),
                            Write.based_on());
  }
  case proto::Resource::kRoute: {
    const std::string &Name = Resource.route().name();
    Status = checkRoute(Resource.route());
    if (!Status.ok())
      return Status;
    return checkBaseVersion("route", Name, versionOf(State.routes(), Name),
                            Write.based_on());
  }
  case proto::Resource::kMove: {
    const std::string &Name = Resource.move().name();
    Status = checkBaseVersion("move", Name, versionOf(State.moves(), Name),
                              Write.based_on());
    if (!Status.ok())
      return Status;
    if (State.moves().contains(Name))
      return conflict(absl::StrCat("move \"", Name,
                                   "\" exists already; cancel it and start "
                                   "one of another name"));
    return checkMove(State, Resource.move());
  }
  case proto::Resource::KIND_NOT_SET:
    break;
  }
  return invalid("a write names no resource");
}

absl::Status checkRemoval(const ConfigurationState &State,
                          const proto::Removal &Removal) {
  const std::string &Name = Removal.name();
  std::uint64_t Current = 0;
  std::string_view Kind;
  if (Removal.kind() == proto::SERVICE) {
    Kind = "service";
    Current = versionOf(State.services(), Name);
    if (activeMoveOf(State, Name) != nullptr)
      return conflict(
          absl::StrCat("service \"", Name, "\" has an active move"));
  } else if (Removal.kind() == proto::ROUTE) {
    Kind = "route";
    Current = versionOf(State.routes(), Name);
  } else {
    return invalid(absl::StrCat("\"", Name,
                                "\": only services and routes can be removed"));
  }
  if (Current == 0)
    return conflict(
        absl::StrCat(std::string(Kind), " \"", Name, "\" does not exist"));
  return checkBaseVersion(Kind, Name, Current, Removal.based_on());
}

/// Returns the kind and name of a resource, as verdicts and audit entries show
/// it.
std::string keyOf(const proto::Resource &Resource) {
  if (Resource.has_service())
    return absl::StrCat("service ", Resource.service().name());
  if (Resource.has_route())
    return absl::StrCat("route ", Resource.route().name());
  return absl::StrCat("move ", Resource.move().name());
}

std::string keyOf(const proto::Removal &Removal) {
  return absl::StrCat(Removal.kind() == proto::SERVICE ? "service " : "route ",
                      Removal.name());
}

absl::Status checkNoDuplicates(const proto::Change &Change) {
  std::set<std::string> Keys;
  for (const proto::Write &Write : Change.writes())
    if (!Keys.insert(keyOf(Write.resource())).second)
      return invalid(
          absl::StrCat(keyOf(Write.resource()), " stands twice in one change"));
  for (const proto::Removal &Removal : Change.removals())
    if (!Keys.insert(keyOf(Removal)).second)
      return invalid(
          absl::StrCat(keyOf(Removal), " stands twice in one change"));
  return absl::OkStatus();
}

absl::Status checkUniquePrefixes(const ConfigurationState &State) {
  std::map<std::string, std::string> RouteByPrefix;
  for (const auto &[Name, Route] : State.routes()) {
    const auto [Owner, Inserted] =
        RouteByPrefix.emplace(Route.route().path_prefix(), Name);
    if (!Inserted)
      return conflict(absl::StrCat("routes \"", std::min(Owner->second, Name),
                                   "\" and \"", std::max(Owner->second, Name),
                                   "\" share the path_prefix \"",
                                   Route.route().path_prefix(), "\""));
  }
  return absl::OkStatus();
}

/// Applies the writes and removals of a change. Each was checked by itself, but
/// the resulting state was not.
void applyResources(const proto::Change &Change, std::uint64_t Version,
                    ConfigurationState *State) {
  for (const proto::Write &Write : Change.writes()) {
    const proto::Resource &Resource = Write.resource();
    if (Resource.has_service()) {
      auto &Entry = (*State->mutable_services())[Resource.service().name()];
      *Entry.mutable_service() = Resource.service();
      Entry.set_version(Version);
    } else if (Resource.has_route()) {
      auto &Entry = (*State->mutable_routes())[Resource.route().name()];
      *Entry.mutable_route() = Resource.route();
      Entry.set_version(Version);
    } else {
      auto &Entry = (*State->mutable_moves())[Resource.move().name()];
      *Entry.mutable_move() = Resource.move();
      Entry.set_version(Version);
      Entry.set_state(proto::ACTIVE);
    }
  }
  for (const proto::Removal &Removal : Change.removals()) {
    if (Removal.kind() == proto::SERVICE)
      State->mutable_services()->erase(Removal.name());
    else
      State->mutable_routes()->erase(Removal.name());
  }
}

/// Validates a change and applies it if it is valid.
absl::Status validateAndApplyChange(const proto::Change &Change,
                                    std::uint64_t Version,
                                    ConfigurationState *State) {
  if (Change.id().empty())
    return invalid("the change has no id");
  if (Change.writes().empty() && Change.removals().empty())
    return invalid("the change writes and removes nothing");
  absl::Status Status = checkNoDuplicates(Change);
  if (!Status.ok())
    return Status;
  for (const proto::Write &Write : Change.writes()) {
    Status = checkWrite(*State, Write);
    if (!Status.ok())
      return Status;
  }
  for (const proto::Removal &Removal : Change.removals()) {
    Status = checkRemoval(*State, Removal);
    if (!Status.ok())
      return Status;
  }
  ConfigurationState NewState = *State;
  applyResources(Change, Version, &NewState);
  Status = checkReferences(NewState);
  if (!Status.ok())
    return conflict(std::string(Status.message()));
  Status = checkUniquePrefixes(NewState);
  if (!Status.ok())
    return Status;
  *State = std::move(NewState);
  return absl::OkStatus();
}

/// Validates the outcome of a move and applies it if it is valid.
absl::Status validateAndApplyOutcome(const proto::MoveOutcome &Outcome,
                                     ConfigurationState *State) {
  const auto Found = State->mutable_moves()->find(Outcome.move());
  if (Found == State->mutable_moves()->end())
    return conflict(
        absl::StrCat("move \"", Outcome.move(), "\" does not exist"));
  proto::VersionedMove &Move = Found->second;
  if (Move.state() != proto::ACTIVE)
    return conflict(absl::StrCat("move \"", Outcome.move(),
                                 "\" has ended already as ",
                                 proto::MoveState_Name(Move.state())));
  if (Outcome.state() != proto::FINISHED &&
      Outcome.state() != proto::TAKEN_BACK &&
      Outcome.state() != proto::CANCELLED)
    return invalid(absl::StrCat("move \"", Outcome.move(), "\" can't end as ",
                                proto::MoveState_Name(Outcome.state())));
  Move.set_state(Outcome.state());
  Move.set_reason(Outcome.reason());
  Move.set_ended_unix_ms(Outcome.written_unix_ms());
  if (Outcome.state() == proto::FINISHED)
    (*State->mutable_services())[Move.move().service()]
        .mutable_service()
        ->set_active_version(Move.move().to_version());
  return absl::OkStatus();
}

const proto::AuditEntry *findAuditEntry(const ConfigurationState &State,
                                        const std::string &Id) {
  for (const proto::AuditEntry &Entry : State.audit())
    if (Entry.id() == Id)
      return &Entry;
  return nullptr;
}

void dropOldestEndedMoves(ConfigurationState *State) {
  std::vector<std::pair<std::uint64_t, std::string>> EndedMoves;
  for (const auto &[Name, Move] : State->moves())
    if (Move.state() != proto::ACTIVE)
      EndedMoves.emplace_back(Move.version(), Name);
  if (EndedMoves.size() <= static_cast<std::size_t>(MaxEndedMoves))
    return;
  std::sort(EndedMoves.begin(), EndedMoves.end());
  EndedMoves.resize(EndedMoves.size() -
                    static_cast<std::size_t>(MaxEndedMoves));
  for (const auto &[Version, Name] : EndedMoves)
    State->mutable_moves()->erase(Name);
}

void addAuditEntry(proto::AuditEntry Entry, ConfigurationState *State) {
  *State->add_audit() = std::move(Entry);
  const int Excess = State->audit_size() - MaxAuditEntries;
  if (Excess > 0)
    State->mutable_audit()->DeleteSubrange(0, Excess);
}

std::string describeChange(const proto::Change &Change) {
  std::string Text = "change:";
  for (const proto::Write &Write : Change.writes())
    absl::StrAppend(&Text, " write ", keyOf(Write.resource()), ";");
  for (const proto::Removal &Removal : Change.removals())
    absl::StrAppend(&Text, " remove ", keyOf(Removal), ";");
  return absl::StrCat(Text, " ", Change.comment());
}

} // namespace internal

absl::Status checkReferences(const proto::ConfigurationState &State) {
  for (const auto &[Name, Route] : State.routes())
    if (!State.services().contains(Route.route().service()))
      return absl::InternalError(
          absl::StrCat("route \"", Name, "\" points at service \"",
                       Route.route().service(), "\", which does not exist"));
  return absl::OkStatus();
}

absl::Status checkChange(const proto::ConfigurationState &State,
                         const proto::Change &Change) {
  proto::ConfigurationState Copy = State;
  return internal::validateAndApplyChange(Change, State.next_offset() + 1,
                                          &Copy);
}

Verdict applyRecord(std::uint64_t Offset, const proto::LogRecord &Record,
                    proto::ConfigurationState *State) {
  // The version of a state is the offset after the last accepted record.
  const std::uint64_t Version = Offset + 1;
  proto::AuditEntry Entry;
  Entry.set_offset(Offset);
  absl::Status Status = absl::InvalidArgumentError("the record is empty");
  if (Record.has_change()) {
    const proto::Change &Change = Record.change();
    if (const auto *Earlier = internal::findAuditEntry(*State, Change.id())) {
      Verdict FirstVerdict{Earlier->accepted(), Earlier->reason()};
      State->set_next_offset(Version);
      return FirstVerdict;
    }
    Entry.set_id(Change.id());
    Entry.set_author(Change.author());
    Entry.set_written_unix_ms(Change.written_unix_ms());
    Entry.set_action(internal::describeChange(Change));
    Status = internal::validateAndApplyChange(Change, Version, State);
  } else if (Record.has_outcome()) {
    const proto::MoveOutcome &Outcome = Record.outcome();
    Entry.set_author(Outcome.author());
    Entry.set_written_unix_ms(Outcome.written_unix_ms());
    Entry.set_action(absl::StrCat("move ", Outcome.move(), " ended: ",
                                  proto::MoveState_Name(Outcome.state()), " ",
                                  Outcome.reason()));
    Status = internal::validateAndApplyOutcome(Outcome, State);
  }
  State->set_next_offset(Version);
  if (Status.ok())
    State->set_version(Version);
  Entry.set_accepted(Status.ok());
  Entry.set_reason(std::string(Status.message()));
  internal::addAuditEntry(std::move(Entry), State);
  internal::dropOldestEndedMoves(State);
  return Verdict{Status.ok(), std::string(Status.message())};
}

std::string encodeState(const proto::ConfigurationState &State) {
  std::string Bytes;
  google::protobuf::io::StringOutputStream Stream(&Bytes);
  google::protobuf::io::CodedOutputStream Coded(&Stream);
  Coded.SetSerializationDeterministic(true);
  State.SerializeToCodedStream(&Coded);
  Coded.Trim();
  return Bytes;
}

} // namespace persimmonquay
