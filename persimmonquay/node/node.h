// The daemon beside an upstream, put together from its parts.
#ifndef PERSIMMONQUAY_NODE_NODE_H
#define PERSIMMONQUAY_NODE_NODE_H

#include "persimmonquay/base/time.h"
#include <absl/status/status.h>
#include <memory>

namespace persimmonquay::proto {
class NodeSettings;
} // namespace persimmonquay::proto

namespace persimmonquay {

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
  /// port, when one is taken.
  absl::Status start();

  /// Shuts down gracefully: peers are told to send no new work, the calls under
  /// way end, at most for `Timeout`, and then the node leaves the group.
  void stop(Millis Timeout);

private:
  class Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_NODE_NODE_H
