// Brings the configuration from the platform's log into the store.
#ifndef PERSIMMONQUAY_NODE_LOG_FOLLOWER_H
#define PERSIMMONQUAY_NODE_LOG_FOLLOWER_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/platform/http_log_client.h"
#include "proto/configuration.pb.h"
#include <absl/status/statusor.h>
#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

namespace persimmonquay {

class Cluster;
class ConfigStore;

/// Names of the streams on the log.
inline constexpr char ConfigStream[] = "config";
inline constexpr char SnapshotStream[] = "snapshots";
inline constexpr char MemberStream[] = "members";

/// While this node has the duty of a log reader in its data centre, follows the
/// `config` stream, starting from the newest snapshot, and writes snapshots.
/// Other nodes get the records from their peers. One node of each data centre
/// keeps its address on the `members` stream, where nodes that know no other
/// find it.
///
/// Thread-safe. Example:
///   LogFollower Follower(&Log, &Store, &Group, SnapshotEvery);
///   Follower.start();
class LogFollower {
public:
  LogFollower(HttpLogClient *Log, ConfigStore *Store, Cluster *Group,
              std::uint64_t SnapshotEvery);
  LogFollower(const LogFollower &) = delete;
  LogFollower &operator=(const LogFollower &) = delete;
  ~LogFollower();

  // Commands.

  void start();
  void stop();

  /// Appends a record and waits for the verdict on it. An append without an
  /// answer is never repeated blindly: the stream is read, and the record is
  /// found or not. Returns Unavailable when neither could be learnt in time.
  absl::StatusOr<proto::AuditEntry> publish(const proto::Change &Change,
                                            Millis Timeout);

  /// Appends the outcome of a move; the caller repeats it when needed.
  absl::Status appendOutcome(const proto::MoveOutcome &Outcome);

  // Queries.

  /// Returns whether the last exchange with the log succeeded.
  bool logReachable() const { return this->Reachable; }

private:
  void run();
  bool hasDuty() const;
  absl::Status readOnce(Millis Wait);
  absl::Status loadSnapshot();
  void writeSnapshotIfDue(MonoTime Now);
  void joinThroughLog(MonoTime Now);
  void writeMemberIfDue(MonoTime Now);
  void pause(Millis Time);

  HttpLogClient *const Log;
  ConfigStore *const Store;
  Cluster *const Group;
  const std::uint64_t SnapshotEvery;

  std::mutex PauseMutex;
  std::condition_variable StopWanted;
  std::atomic<bool> Stopping = false;
  std::atomic<bool> Reachable = false;
  bool SnapshotTried = false;
  std::uint64_t LastSnapshotOffset = 0;
  MonoTime LastSnapshotAt{};
  MonoTime LastJoinAt{};
  MonoTime LastMemberAt{};
  std::thread Worker;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_NODE_LOG_FOLLOWER_H
