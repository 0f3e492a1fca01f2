#include "testing/traces/replayer.h"

#include "persimmonquay/config/state_machine.h"
#include "persimmonquay/move/evidence_table.h"
#include "persimmonquay/move/move_policy.h"
#include "proto/configuration.pb.h"
#include "proto/peer.pb.h"
#include <fstream>
#include <google/protobuf/util/json_util.h>
#include <nlohmann/json.hpp>
#include <optional>

namespace persimmonquay::testing {
namespace {

constexpr char MoveName[] = "m";

template <typename Message> Message parse(const nlohmann::json &Data) {
  Message Result;
  (void)google::protobuf::util::JsonStringToMessage(Data.dump(), &Result);
  return Result;
}

/// The configuration state, evidence and move policy of one node.
class ReplayedNode {
public:
  void apply(const proto::StreamRecord &StreamRecord, ReplayResult *Result) {
    if (StreamRecord.offset() < this->State.next_offset())
      return;
    proto::LogRecord Record;
    Record.ParseFromString(StreamRecord.payload());
    applyRecord(StreamRecord.offset(), Record, &this->State);
    ++Result->ConfigRecords;
    Result->Versions.push_back(this->State.version());
    Result->ReferencesAlwaysResolved &= checkReferences(this->State).ok();
    const auto Move = this->State.moves().find(MoveName);
    if (Move == this->State.moves().end())
      return;
    Result->FinalMoveState = proto::MoveState_Name(Move->second.state());
    if (!this->Policy)
      this->Policy = MovePolicy::Builder(Move->second.move()).build();
  }

  void merge(const proto::EvidenceCell &Cell, WallTime Now,
             ReplayResult *Result) {
    if (!this->Evidence.merge(Cell, Now) || !this->Policy)
      return;
    ++Result->EvidenceCells;
    const MoveDecision Decision = this->Policy->decide(
        this->Evidence, MoveProgress(), VersionCapacity{1, 1}, Now);
    if (Decision.Action != MoveDecision::Kind::RollBack ||
        Result->PolicyRollsBack)
      return;
    Result->PolicyRollsBack = true;
    Result->Reason = Decision.Reason;
  }

private:
  proto::ConfigurationState State;
  EvidenceTable Evidence{MoveName, "replayer", 0};
  std::optional<MovePolicy> Policy;
};

} // namespace

ReplayResult replayTrace(const std::string &Path) {
  ReplayResult Result;
  std::ifstream File(Path);
  std::string Line;
  std::getline(File, Line);
  const auto Header = nlohmann::json::parse(Line);
  Result.Expected = {Header["condition"], Header["move_ends"]};
  ReplayedNode Node;
  while (std::getline(File, Line)) {
    const auto Event = nlohmann::json::parse(Line);
    const WallTime Now = wallTimeFromUnixMillis(Event["unix_ms"]);
    if (Event["event"] == "config-record")
      Node.apply(parse<proto::StreamRecord>(Event["data"]), &Result);
    else if (Event["event"] == "evidence")
      Node.merge(parse<proto::EvidenceCell>(Event["data"]), Now, &Result);
  }
  return Result;
}

} // namespace persimmonquay::testing
