// The daemon that runs beside an upstream.
#ifndef PERSIMMONQUAY_NODE_NODE_H
#define PERSIMMONQUAY_NODE_NODE_H

#include "persimmonquay/base/time.h"
#include <absl/status/status.h>
#include <memory>

namespace persimmonquay::proto {
class NodeSettings;
} // namespace persimmonquay::proto

namespace persimmonquay {

/// Owns the components of `persimmonquay node`, starts and stops them.
///
/// Example:
///   Node Daemon(Settings);
///   absl::Status Status = Daemon.start();
///   waitForSignal();
///   Daemon.stop(Millis(30000));
class Node {
public:
  explicit Node(const proto::NodeSettings &Settings);
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;
  ~Node();

  /// Opens all ports and starts the threads. Returns Unavailable, naming the
  /// port, when one is in use.
  absl::Status start();

  /// Shuts down gracefully: tells peers to send no new calls, waits at most
  /// `Timeout` for calls in flight to end, and then leaves the cluster.
  void stop(Millis Timeout);

private:
  class Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_NODE_NODE_H
