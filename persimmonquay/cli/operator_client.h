// gRPC client for the operator interface of a node.
#ifndef PERSIMMONQUAY_CLI_OPERATOR_CLIENT_H
#define PERSIMMONQUAY_CLI_OPERATOR_CLIENT_H

#include "persimmonquay/base/time.h"
#include "proto/operators.pb.h"
#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <functional>
#include <memory>
#include <string>

namespace persimmonquay {

/// A connection to one node. Calls return the gRPC status as an absl::Status,
/// DeadlineExceeded after `Timeout`.
///
/// Not thread-safe.
///
/// Example:
///   OperatorClient Client("10.0.0.1:7400", Millis(15000));
///   auto Status = Client.fleetStatus();
class OperatorClient {
public:
  OperatorClient(const std::string &Address, Millis Timeout);
  OperatorClient(const OperatorClient &) = delete;
  OperatorClient &operator=(const OperatorClient &) = delete;
  ~OperatorClient();

  // Commands.

  absl::StatusOr<proto::PublishReply> publish(const proto::Change &Change);
  absl::StatusOr<proto::PublishReply>
  cancelMove(const proto::CancelRequest &Request);
  absl::StatusOr<proto::DrainReply> drain(const std::string &Author);

  // Queries.

  absl::StatusOr<proto::ConfigurationState> configuration();
  absl::StatusOr<proto::MoveStatus> moveStatus(const std::string &Name);
  absl::StatusOr<proto::FleetStatus> fleetStatus();
  absl::StatusOr<proto::AuditReply> audit(std::uint64_t FromOffset);

  /// Calls `OnUpdate` with each new status until the move has ended. Has no
  /// timeout.
  absl::Status
  watchMove(const std::string &Name,
            const std::function<void(const proto::MoveStatus &)> &OnUpdate);

  /// Calls `OnUpdate` with each new state until the connection ends. Has no
  /// timeout.
  absl::Status watchConfiguration(
      const std::function<void(const proto::ConfigurationState &)> &OnUpdate);

private:
  class Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_CLI_OPERATOR_CLIENT_H
