#include "persimmonquay/peer/sync_channel.h"

#include <absl/strings/str_cat.h>
#include <cstring>
#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>
#include <utility>

namespace persimmonquay {
namespace internal {

std::string makeUrl(const std::string &Address, std::uint16_t Port) {
  return absl::StrCat("tcp://", Address, ":", Port);
}

absl::Status toStatus(int Error, const std::string &Url) {
  const std::string Message = absl::StrCat(Url, ": ", nng_strerror(Error));
  return Error == NNG_ETIMEDOUT ? absl::DeadlineExceededError(Message)
                                : absl::UnavailableError(Message);
}

/// Receives one message. Returns nng's error code, 0 on success.
int receive(nng_socket Socket, std::string *Message) {
  void *Bytes = nullptr;
  std::size_t Size = 0;
  const int Error = nng_recv(Socket, &Bytes, &Size, NNG_FLAG_ALLOC);
  if (Error != 0)
    return Error;
  Message->assign(static_cast<const char *>(Bytes), Size);
  nng_free(Bytes, Size);
  return 0;
}

int send(nng_socket Socket, const std::string &Message) {
  return nng_send(Socket, const_cast<char *>(Message.data()), Message.size(),
                  0);
}

/// Closes a socket at the end of a scope.
struct SocketCloser {
  nng_socket Socket;
  ~SocketCloser() { nng_close(this->Socket); }
};

} // namespace internal

struct SyncServer::Socket {
  nng_socket Handle = NNG_SOCKET_INITIALIZER;
};

SyncServer::SyncServer() = default;

SyncServer::~SyncServer() { this->stop(); }

absl::Status SyncServer::start(const std::string &Address, std::uint16_t Port,
                               Handler RequestHandler) {
  auto NewListener = std::make_unique<Socket>();
  const std::string Url = internal::makeUrl(Address, Port);
  int Error = nng_rep0_open(&NewListener->Handle);
  if (Error == 0)
    Error = nng_socket_set_size(NewListener->Handle, NNG_OPT_RECVMAXSZ,
                                MaxSyncMessageBytes);
  if (Error == 0)
    Error = nng_listen(NewListener->Handle, Url.c_str(), nullptr, 0);
  if (Error != 0)
    return internal::toStatus(Error, Url);
  this->Listener = std::move(NewListener);
  this->ServerThread =
      std::thread([this, RequestHandler = std::move(RequestHandler)] {
        std::string Request;
        while (true) {
          const int ReceiveError =
              internal::receive(this->Listener->Handle, &Request);
          if (ReceiveError == NNG_ECLOSED)
            return;
          if (ReceiveError == 0)
            internal::send(this->Listener->Handle, RequestHandler(Request));
        }
      });
  return absl::OkStatus();
}

void SyncServer::stop() {
  if (this->Listener == nullptr)
    return;
  nng_close(this->Listener->Handle);
  this->ServerThread.join();
  this->Listener.reset();
}

absl::StatusOr<std::string> requestSync(const std::string &Address,
                                        std::uint16_t Port,
                                        const std::string &Request,
                                        Millis Timeout) {
  const std::string Url = internal::makeUrl(Address, Port);
  nng_socket Socket = NNG_SOCKET_INITIALIZER;
  int Error = nng_req0_open(&Socket);
  if (Error != 0)
    return internal::toStatus(Error, Url);
  const internal::SocketCloser Closer{Socket};
  const auto TimeoutMs = static_cast<nng_duration>(Timeout.count());
  nng_socket_set_ms(Socket, NNG_OPT_SENDTIMEO, TimeoutMs);
  nng_socket_set_ms(Socket, NNG_OPT_RECVTIMEO, TimeoutMs);
  nng_socket_set_size(Socket, NNG_OPT_RECVMAXSZ, MaxSyncMessageBytes);
  Error = nng_dial(Socket, Url.c_str(), nullptr, NNG_FLAG_NONBLOCK);
  if (Error == 0)
    Error = internal::send(Socket, Request);
  std::string Reply;
  if (Error == 0)
    Error = internal::receive(Socket, &Reply);
  if (Error != 0)
    return internal::toStatus(Error, Url);
  return Reply;
}

} // namespace persimmonquay
