// gRPC server for operators' calls.
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
///   OperatorServer Server(Deps);
///   absl::Status Status = Server.start("127.0.0.1", 9000);
class OperatorServer {
public:
  /// Every object pointed to must outlive the server.
  struct Dependencies {
    Cluster *PeerCluster = nullptr;
    ConfigStore *Store = nullptr;
    LogFollower *Follower = nullptr;
    MoveDriver *Moves = nullptr;
    Ingress *LocalIngress = nullptr;
    const RoutingViewHolder *Views = nullptr;
  };

  explicit OperatorServer(Dependencies Deps);
  OperatorServer(const OperatorServer &) = delete;
  OperatorServer &operator=(const OperatorServer &) = delete;
  ~OperatorServer();

  /// Starts serving. Returns Unavailable when the port can't be opened.
  absl::Status start(const std::string &Address, std::uint16_t Port);

  /// Ends all calls in progress, including watches, and stops serving.
  void stop();

private:
  class Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_NODE_OPERATOR_SERVER_H
