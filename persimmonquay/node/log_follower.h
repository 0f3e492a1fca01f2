// Reads the configuration from the platform's log into the store.
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

/// While this node is one of its data centre's log readers, follows the
/// `config` stream, starting from the newest snapshot, and writes snapshots.
/// Other nodes receive the records from their peers. One node of each data
/// centre keeps its address on the `members` stream, where nodes that know no
/// peer look for it.
///
/// Thread-safe. Example:
///   LogFollower Follower(&Log, &Store, &PeerCluster, RecordsPerSnapshot);
///   Follower.start();
class LogFollower {
public:
  LogFollower(HttpLogClient *Log, ConfigStore *Store, Cluster *PeerCluster,
              std::uint64_t RecordsPerSnapshot);
  LogFollower(const LogFollower &) = delete;
  LogFollower &operator=(const LogFollower &) = delete;
  ~LogFollower();

  // Commands.

  void start();
  void stop();

  /// Appends a change and waits for the verdict on it. An append that gets no
  /// response is not retried: reading the stream shows whether the record
  /// arrived. Returns Unavailable when the change was not published or
  /// this could not be determined in time, and DeadlineExceeded when the change
  /// is on the log but this node has not read it within `Timeout`.
  absl::StatusOr<proto::AuditEntry> publish(const proto::Change &Change,
                                            Millis Timeout);

  /// Appends the outcome of a move. Doesn't retry; the caller repeats the call
  /// when needed.
  absl::Status appendOutcome(const proto::MoveOutcome &Outcome);

  // Queries.

  /// Returns whether the log answered the most recent read.
  bool logReachable() const { return this->Reachable; }

private:
  void run();
  bool isLogReader() const;
  absl::Status readOnce(Millis Wait);
  absl::Status loadSnapshot();
  void writeSnapshotIfDue(MonoTime Now);
  void discoverPeersOnLog(MonoTime Now);
  void writeMemberIfDue(MonoTime Now);
  void pause(Millis Duration);

  HttpLogClient *const Log;
  ConfigStore *const Store;
  Cluster *const PeerCluster;
  const std::uint64_t RecordsPerSnapshot;

  std::mutex PauseMutex;
  std::condition_variable StopRequested;
  std::atomic<bool> Stopping = false;
  std::atomic<bool> Reachable = false;
  bool InitialSnapshotChecked = false;
  std::uint64_t LastSnapshotOffset = 0;
  MonoTime LastSnapshotAt{};
  MonoTime LastDiscoveryAt{};
  MonoTime LastMemberWriteAt{};
  std::thread Worker;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_NODE_LOG_FOLLOWER_H
