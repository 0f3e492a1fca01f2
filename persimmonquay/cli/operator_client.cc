#include "persimmonquay/cli/operator_client.h"

#include "proto/operators.grpc.pb.h"
#include <grpcpp/grpcpp.h>

namespace persimmonquay {
namespace internal {

absl::Status toAbslStatus(const grpc::Status &Status) {
  return absl::Status(static_cast<absl::StatusCode>(Status.error_code()),
                      Status.error_message());
}

} // namespace internal

class OperatorClient::Implementation {
public:
  Implementation(const std::string &Address, Millis Timeout)
      : Stub(proto::Operators::NewStub(
            grpc::CreateChannel(Address, grpc::InsecureChannelCredentials()))),
        Timeout(Timeout) {}

  /// Calls one method of the stub with the timeout and returns its reply.
  template <typename ReplyType, typename RequestType, typename MethodType>
  absl::StatusOr<ReplyType> call(MethodType StubMethod,
                                 const RequestType &Request) {
    grpc::ClientContext Context;
    Context.set_deadline(std::chrono::system_clock::now() + this->Timeout);
    ReplyType Reply;
    const grpc::Status Status =
        (this->Stub.get()->*StubMethod)(&Context, Request, &Reply);
    if (!Status.ok())
      return internal::toAbslStatus(Status);
    return Reply;
  }

  std::unique_ptr<proto::Operators::Stub> Stub;
  Millis Timeout;
};

OperatorClient::OperatorClient(const std::string &Address, Millis Timeout)
    : Impl(std::make_unique<Implementation>(Address, Timeout)) {}

OperatorClient::~OperatorClient() = default;

absl::StatusOr<proto::PublishReply>
OperatorClient::publish(const proto::Change &Change) {
  proto::PublishRequest Request;
  *Request.mutable_change() = Change;
  return this->Impl->call<proto::PublishReply>(&proto::Operators::Stub::Publish,
                                               Request);
}

absl::StatusOr<proto::PublishReply>
OperatorClient::cancelMove(const proto::CancelRequest &Request) {
  return this->Impl->call<proto::PublishReply>(
      &proto::Operators::Stub::CancelMove, Request);
}

absl::StatusOr<proto::DrainReply>
OperatorClient::drain(const std::string &Author) {
  proto::DrainRequest Request;
  Request.set_author(Author);
  return this->Impl->call<proto::DrainReply>(&proto::Operators::Stub::Drain,
                                             Request);
}

absl::StatusOr<proto::ConfigurationState> OperatorClient::configuration() {
  return this->Impl->call<proto::ConfigurationState>(
      &proto::Operators::Stub::GetConfiguration, proto::ConfigurationRequest());
}

absl::StatusOr<proto::MoveStatus>
OperatorClient::moveStatus(const std::string &Name) {
  proto::MoveRequest Request;
  Request.set_move(Name);
  return this->Impl->call<proto::MoveStatus>(&proto::Operators::Stub::GetMove,
                                             Request);
}

absl::StatusOr<proto::FleetStatus> OperatorClient::fleetStatus() {
  return this->Impl->call<proto::FleetStatus>(&proto::Operators::Stub::GetFleet,
                                              proto::FleetRequest());
}

absl::StatusOr<proto::AuditReply>
OperatorClient::audit(std::uint64_t FromOffset) {
  proto::AuditRequest Request;
  Request.set_from_offset(FromOffset);
  return this->Impl->call<proto::AuditReply>(&proto::Operators::Stub::GetAudit,
                                             Request);
}

absl::Status OperatorClient::watchMove(
    const std::string &Name,
    const std::function<void(const proto::MoveStatus &)> &OnUpdate) {
  grpc::ClientContext Context;
  proto::MoveRequest Request;
  Request.set_move(Name);
  const auto Reader = this->Impl->Stub->WatchMove(&Context, Request);
  proto::MoveStatus Status;
  while (Reader->Read(&Status))
    OnUpdate(Status);
  return internal::toAbslStatus(Reader->Finish());
}

absl::Status OperatorClient::watchConfiguration(
    const std::function<void(const proto::ConfigurationState &)> &OnUpdate) {
  grpc::ClientContext Context;
  const auto Reader = this->Impl->Stub->WatchConfiguration(
      &Context, proto::ConfigurationRequest());
  proto::ConfigurationState State;
  while (Reader->Read(&State))
    OnUpdate(State);
  return internal::toAbslStatus(Reader->Finish());
}

} // namespace persimmonquay
