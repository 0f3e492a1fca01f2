// The operators' remote procedure calls, over gRPC.
#ifndef PERSIMMONQUAY_NODE_OPERATOR_SERVER_H
#define PERSIMMONQUAY_NODE_OPERATOR_SERVER_H

#include <absl/status/status.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace persimmonquay {

class Cluster;
class ConfigStore;
class Ingress;
class LogFollower;
class MoveDriver;
class RoutingViewHolder;

/// Serves proto/operators.proto. Thread-safe.
///
/// Example:
///   OperatorServer Server(Parts);
///   absl::Status Status = Server.start("127.0.0.1", 9000);
class OperatorServer {
public:
  /// What the calls work with; all must outlive the server.
  struct Parts {
    Cluster *Group = nullptr;
    ConfigStore *Store = nullptr;
    LogFollower *Follower = nullptr;
    MoveDriver *Moves = nullptr;
    Ingress *OwnIngress = nullptr;
    const RoutingViewHolder *Views = nullptr;
  };

  explicit OperatorServer(Parts Needed);
  OperatorServer(const OperatorServer &) = delete;
  OperatorServer &operator=(const OperatorServer &) = delete;
  ~OperatorServer();

  /// Returns Unavailable when the port is taken.
  absl::Status start(const std::string &Address, std::uint16_t Port);

  /// Ends the calls under way, watches included.
  void stop();

private:
  class Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_NODE_OPERATOR_SERVER_H
