// The operators' calls as plain functions.
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

/// A connection to one node. Not thread-safe.
///
/// Example:
///   OperatorClient Client("10.0.0.1:7400", Millis(15000));
///   auto Fleet = Client.fleet();
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
  absl::StatusOr<proto::MoveStatus> move(const std::string &Name);
  absl::StatusOr<proto::FleetStatus> fleet();
  absl::StatusOr<proto::AuditReply> audit(std::uint64_t FromOffset);

  /// Calls `Show` with each status until the move has ended. The watch itself
  /// has no timeout.
  absl::Status
  watchMove(const std::string &Name,
            const std::function<void(const proto::MoveStatus &)> &Show);

  /// Calls `Show` with each state until the connection ends.
  absl::Status watchConfiguration(
      const std::function<void(const proto::ConfigurationState &)> &Show);

private:
  class Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_CLI_OPERATOR_CLIENT_H
