#include "persimmonquay/cli/printing.h"

#include "persimmonquay/base/time.h"
#include "proto/operators.pb.h"
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/time/time.h>

namespace persimmonquay {
namespace internal {

std::string formatTime(std::int64_t UnixMs) {
  return absl::FormatTime("%Y-%m-%dT%H:%M:%SZ", absl::FromUnixMillis(UnixMs),
                          absl::UTCTimeZone());
}

} // namespace internal

std::string formatConfiguration(const proto::ConfigurationState &State) {
  std::string Text =
      absl::StrFormat("version %d\n\n%-20s %-10s %s\n", State.version(),
                      "SERVICE", "RUNS", "CHANGED AT VERSION");
  for (const auto &[Name, Service] : State.services())
    absl::StrAppendFormat(&Text, "%-20s %-10s %d\n", Name,
                          Service.service().active_version(),
                          Service.version());
  absl::StrAppendFormat(&Text, "\n%-20s %-20s %-20s %-12s %s\n", "ROUTE",
                        "PREFIX", "SERVICE", "PRIORITY", "DEADLINE");
  for (const auto &[Name, Route] : State.routes())
    absl::StrAppendFormat(&Text, "%-20s %-20s %-20s %-12s %d ms\n", Name,
                          Route.route().path_prefix(), Route.route().service(),
                          proto::Priority_Name(Route.route().priority()),
                          Route.route().deadline_ms());
  absl::StrAppendFormat(&Text, "\n%-20s %-20s %-20s %s\n", "MOVE", "SERVICE",
                        "VERSIONS", "STATE");
  for (const auto &[Name, Move] : State.moves())
    absl::StrAppendFormat(&Text, "%-20s %-20s %-20s %s\n", Name,
                          Move.move().service(),
                          absl::StrCat(Move.move().from_version(), " to ",
                                       Move.move().to_version()),
                          proto::MoveState_Name(Move.state()));
  return Text;
}

std::string formatFleet(const proto::FleetStatus &Fleet) {
  std::string Text = absl::StrFormat(
      "seen by %s in %s: configuration version %d, log %s\n\n"
      "%-18s %-12s %-8s %-18s %-8s %5s %s\n",
      Fleet.node(), Fleet.data_centre(), Fleet.config_version(),
      Fleet.log_reachable() ? "reached by this node" : "not read by this node",
      "NODE", "DATA CENTRE", "STATE", "SERVICE", "VERSION", "SLOTS",
      "DRAINING");
  for (const proto::Member &Member : Fleet.members())
    absl::StrAppendFormat(&Text, "%-18s %-12s %-8s %-18s %-8s %5d %s\n",
                          Member.node(), Member.data_centre(),
                          proto::MemberState_Name(Member.state()),
                          Member.service(), Member.version(), Member.slots(),
                          Member.draining() ? "yes" : "no");
  return Text;
}

std::string formatAudit(const proto::AuditReply &Audit) {
  std::string Text = absl::StrFormat("%8s %-20s %-12s %-9s %s\n", "OFFSET",
                                     "WRITTEN", "AUTHOR", "VERDICT", "WHAT");
  for (const proto::AuditEntry &Entry : Audit.entries())
    absl::StrAppendFormat(
        &Text, "%8d %-20s %-12s %-9s %s%s\n", Entry.offset(),
        internal::formatTime(Entry.written_unix_ms()), Entry.author(),
        Entry.accepted() ? "accepted" : "rejected", Entry.action(),
        Entry.accepted() ? "" : absl::StrCat(" (", Entry.reason(), ")"));
  return Text;
}

std::string formatMoveStatus(const proto::MoveStatus &Status) {
  const proto::Move &Move = Status.move();
  const std::string Subject =
      absl::StrCat("move \"", Move.name(), "\" of ", Move.service(), " to ",
                   Move.to_version());
  switch (Status.state()) {
  case proto::FINISHED:
    return absl::StrCat(Subject, ": done; ", Status.reason());
  case proto::TAKEN_BACK:
    return absl::StrCat(Subject, ": TAKEN BACK; ", Status.reason());
  case proto::CANCELLED:
    return absl::StrCat(Subject, ": cancelled; ", Status.reason());
  default:
    break;
  }
  std::string Text = absl::StrFormat(
      "%s: share %.1f%%, due %s, %d calls and %d errors at the new version",
      Subject, Status.share_permille() / 10.0,
      internal::formatTime(Move.due_unix_ms()), Status.new_calls(),
      Status.new_errors());
  if (!Status.warning().empty())
    absl::StrAppend(&Text, "; WARNING: ", Status.warning());
  return Text;
}

} // namespace persimmonquay
