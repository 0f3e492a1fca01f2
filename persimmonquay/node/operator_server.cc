#include "persimmonquay/node/operator_server.h"

#include "persimmonquay/base/logging.h"
#include "persimmonquay/config/config_store.h"
#include "persimmonquay/node/ingress.h"
#include "persimmonquay/node/log_follower.h"
#include "persimmonquay/node/move_driver.h"
#include "persimmonquay/node/routing_view.h"
#include "persimmonquay/peer/cluster.h"
#include "proto/operators.grpc.pb.h"
#include <absl/strings/str_cat.h>
#include <atomic>
#include <chrono>
#include <grpcpp/grpcpp.h>
#include <optional>
#include <thread>

namespace persimmonquay {
namespace internal {

constexpr Millis PublishTimeout{10000};
constexpr Millis WatchPoll{200};
constexpr int MaxServerThreads = 8;
constexpr std::chrono::seconds ShutdownTimeout{1};

grpc::Status toGrpc(const absl::Status &Status) {
  return grpc::Status(static_cast<grpc::StatusCode>(Status.code()),
                      std::string(Status.message()));
}

} // namespace internal

/// Implements the generated service; see proto/operators.proto.
class OperatorServer::Implementation final : public proto::Operators::Service {
public:
  explicit Implementation(Dependencies Deps) : Deps(Deps) {}

  grpc::Status Publish(grpc::ServerContext *,
                       const proto::PublishRequest *Request,
                       proto::PublishReply *Reply) override {
    return this->publish(Request->change(), Reply);
  }

  grpc::Status GetConfiguration(grpc::ServerContext *,
                                const proto::ConfigurationRequest *,
                                proto::ConfigurationState *Reply) override {
    *Reply = this->Deps.Store->state();
    return grpc::Status::OK;
  }

  grpc::Status WatchConfiguration(
      grpc::ServerContext *Context, const proto::ConfigurationRequest *,
      grpc::ServerWriter<proto::ConfigurationState> *Writer) override {
    std::uint64_t SentOffset = 0;
    bool IsFirst = true;
    while (!Context->IsCancelled() && !this->Stopping) {
      if (!IsFirst && !this->Deps.Store->waitForOffsetAfter(
                          SentOffset, internal::WatchPoll))
        continue;
      IsFirst = false;
      const proto::ConfigurationState State = this->Deps.Store->state();
      SentOffset = State.next_offset();
      if (!Writer->Write(State))
        break;
    }
    return grpc::Status::OK;
  }

  grpc::Status CancelMove(grpc::ServerContext *,
                          const proto::CancelRequest *Request,
                          proto::PublishReply *Reply) override {
    return this->cancel(*Request, Reply);
  }

  grpc::Status GetMove(grpc::ServerContext *, const proto::MoveRequest *Request,
                       proto::MoveStatus *Reply) override {
    const auto Status = this->statusOf(Request->move());
    if (!Status)
      return unknownMove(Request->move());
    *Reply = *Status;
    return grpc::Status::OK;
  }

  grpc::Status
  WatchMove(grpc::ServerContext *Context, const proto::MoveRequest *Request,
            grpc::ServerWriter<proto::MoveStatus> *Writer) override {
    std::string LastSent;
    while (!Context->IsCancelled() && !this->Stopping) {
      const auto Status = this->statusOf(Request->move());
      if (!Status)
        return unknownMove(Request->move());
      const std::string Bytes = Status->SerializeAsString();
      if (Bytes != LastSent && !Writer->Write(*Status))
        return grpc::Status::OK;
      LastSent = Bytes;
      if (Status->state() != proto::ACTIVE)
        return grpc::Status::OK;
      this->Deps.Store->waitForOffsetAfter(this->Deps.Store->nextOffset(),
                                           internal::WatchPoll);
    }
    return grpc::Status::OK;
  }

  grpc::Status GetFleet(grpc::ServerContext *, const proto::FleetRequest *,
                        proto::FleetStatus *Reply) override {
    const proto::Member Self = this->Deps.PeerCluster->self();
    Reply->set_node(Self.node());
    Reply->set_data_centre(Self.data_centre());
    Reply->set_config_version(this->Deps.Store->version());
    Reply->set_log_reachable(this->Deps.Follower->logReachable());
    for (proto::Member &Member : this->Deps.PeerCluster->members())
      *Reply->add_members() = std::move(Member);
    return grpc::Status::OK;
  }

  grpc::Status Drain(grpc::ServerContext *, const proto::DrainRequest *Request,
                     proto::DrainReply *Reply) override {
    logLine(LogLevel::Info, "drain ordered", {{"author", Request->author()}});
    this->Deps.LocalIngress->drain();
    Reply->set_calls_in_flight(this->Deps.LocalIngress->load());
    return grpc::Status::OK;
  }

  grpc::Status GetAudit(grpc::ServerContext *,
                        const proto::AuditRequest *Request,
                        proto::AuditReply *Reply) override {
    const proto::ConfigurationState State = this->Deps.Store->state();
    for (const proto::AuditEntry &Entry : State.audit())
      if (Entry.offset() >= Request->from_offset())
        *Reply->add_entries() = Entry;
    return grpc::Status::OK;
  }

  absl::Status start(const std::string &Address, std::uint16_t Port);
  void stop();

private:
  static grpc::Status unknownMove(const std::string &Move) {
    return grpc::Status(grpc::StatusCode::NOT_FOUND,
                        absl::StrCat("move \"", Move, "\" does not exist"));
  }

  grpc::Status publish(const proto::Change &Change, proto::PublishReply *Reply);
  grpc::Status cancel(const proto::CancelRequest &Request,
                      proto::PublishReply *Reply);
  std::optional<proto::MoveStatus> statusOf(const std::string &Move) const;

  const Dependencies Deps;
  std::atomic<bool> Stopping = false;
  std::unique_ptr<grpc::Server> Server;
};

grpc::Status
OperatorServer::Implementation::publish(const proto::Change &Change,
                                        proto::PublishReply *Reply) {
  // A change that is invalid by itself is rejected without going to the log.
  // Conflicts with other changes are decided by the order on the log.
  const absl::Status ChangeStatus =
      checkChange(this->Deps.Store->state(), Change);
  if (absl::IsInvalidArgument(ChangeStatus)) {
    Reply->set_reason(std::string(ChangeStatus.message()));
    return grpc::Status::OK;
  }
  const auto Verdict =
      this->Deps.Follower->publish(Change, internal::PublishTimeout);
  if (!Verdict.ok())
    return internal::toGrpc(Verdict.status());
  Reply->set_accepted(Verdict->accepted());
  Reply->set_reason(Verdict->reason());
  if (Verdict->accepted())
    Reply->set_version(Verdict->offset() + 1);
  return grpc::Status::OK;
}

grpc::Status
OperatorServer::Implementation::cancel(const proto::CancelRequest &Request,
                                       proto::PublishReply *Reply) {
  if (!this->statusOf(Request.move()))
    return unknownMove(Request.move());
  proto::MoveOutcome Outcome;
  Outcome.set_move(Request.move());
  Outcome.set_state(proto::CANCELLED);
  Outcome.set_author(Request.author());
  Outcome.set_reason(Request.reason());
  Outcome.set_written_unix_ms(unixMillis(wallNow()));
  const absl::Status AppendStatus = this->Deps.Follower->appendOutcome(Outcome);
  const MonoTime Deadline = monoNow() + internal::PublishTimeout;
  while (monoNow() < Deadline) {
    const std::uint64_t ReadOffset = this->Deps.Store->nextOffset();
    const auto Status = this->statusOf(Request.move());
    if (Status && Status->state() != proto::ACTIVE) {
      Reply->set_accepted(Status->state() == proto::CANCELLED);
      Reply->set_version(this->Deps.Store->version());
      if (!Reply->accepted())
        Reply->set_reason(absl::StrCat("move \"", Request.move(),
                                       "\" ended before as ",
                                       proto::MoveState_Name(Status->state())));
      return grpc::Status::OK;
    }
    this->Deps.Store->waitForOffsetAfter(ReadOffset, internal::WatchPoll);
  }
  if (!AppendStatus.ok())
    return internal::toGrpc(AppendStatus);
  return grpc::Status(grpc::StatusCode::DEADLINE_EXCEEDED,
                      "this node has not read the outcome yet");
}

std::optional<proto::MoveStatus>
OperatorServer::Implementation::statusOf(const std::string &Move) const {
  const proto::ConfigurationState State = this->Deps.Store->state();
  const auto It = State.moves().find(Move);
  if (It == State.moves().end())
    return std::nullopt;
  proto::MoveStatus Status;
  *Status.mutable_move() = It->second.move();
  Status.set_state(It->second.state());
  Status.set_reason(It->second.reason());
  if (Status.state() != proto::ACTIVE)
    return Status;
  const auto View = this->Deps.Views->current();
  if (const MoveView *Active = View->findMove(Status.move().service()))
    Status.set_share_permille(
        Active->Policy.share(Active->Progress, wallNow()));
  const MoveReport Report = this->Deps.Moves->report(Move);
  Status.set_new_calls(static_cast<std::uint64_t>(Report.NewCalls));
  Status.set_new_errors(static_cast<std::uint64_t>(Report.NewErrors));
  Status.set_warning(Report.Warning);
  return Status;
}

absl::Status OperatorServer::Implementation::start(const std::string &Address,
                                                   std::uint16_t Port) {
  const std::string ListenAddress = absl::StrCat(Address, ":", Port);
  int BoundPort = 0;
  grpc::ResourceQuota Quota("operators");
  Quota.SetMaxThreads(internal::MaxServerThreads);
  grpc::ServerBuilder Builder;
  Builder.SetResourceQuota(Quota);
  Builder.SetSyncServerOption(grpc::ServerBuilder::NUM_CQS, 1);
  Builder.SetSyncServerOption(grpc::ServerBuilder::MIN_POLLERS, 1);
  Builder.SetSyncServerOption(grpc::ServerBuilder::MAX_POLLERS, 2);
  Builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  Builder.AddListeningPort(ListenAddress, grpc::InsecureServerCredentials(),
                           &BoundPort);
  Builder.RegisterService(this);
  this->Server = Builder.BuildAndStart();
  if (this->Server == nullptr || BoundPort == 0)
    return absl::UnavailableError(
        absl::StrCat("operator_port ", ListenAddress, " can't be opened"));
  return absl::OkStatus();
}

void OperatorServer::Implementation::stop() {
  this->Stopping = true;
  if (this->Server == nullptr)
    return;
  this->Server->Shutdown(std::chrono::system_clock::now() +
                         internal::ShutdownTimeout);
  this->Server.reset();
}

OperatorServer::OperatorServer(Dependencies Deps)
    : Impl(std::make_unique<Implementation>(Deps)) {}

OperatorServer::~OperatorServer() { this->stop(); }

absl::Status OperatorServer::start(const std::string &Address,
                                   std::uint16_t Port) {
  return this->Impl->start(Address, Port);
}

void OperatorServer::stop() { this->Impl->stop(); }

} // namespace persimmonquay
