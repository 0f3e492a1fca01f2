#include "persimmonquay/peer/sync_channel.h"

#include <absl/strings/str_cat.h>
#include <cstring>
#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>
#include <utility>

namespace persimmonquay {
namespace internal {

std::string urlOf(const std::string &Address, std::uint16_t Port) {
  return absl::StrCat("tcp://", Address, ":", Port);
}

absl::Status statusOf(int Error, const std::string &Url) {
  const std::string Text = absl::StrCat(Url, ": ", nng_strerror(Error));
  return Error == NNG_ETIMEDOUT ? absl::DeadlineExceededError(Text)
                                : absl::UnavailableError(Text);
}

/// Receives one message; returns the library's error number.
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
                               Handler Answer) {
  auto Opened = std::make_unique<Socket>();
  const std::string Url = internal::urlOf(Address, Port);
  int Error = nng_rep0_open(&Opened->Handle);
  if (Error == 0)
    Error =
        nng_socket_set_size(Opened->Handle, NNG_OPT_RECVMAXSZ, MaxSyncBytes);
  if (Error == 0)
    Error = nng_listen(Opened->Handle, Url.c_str(), nullptr, 0);
  if (Error != 0)
    return internal::statusOf(Error, Url);
  this->Listener = std::move(Opened);
  this->Worker = std::thread([this, Answer = std::move(Answer)] {
    std::string Request;
    while (true) {
      const int Received = internal::receive(this->Listener->Handle, &Request);
      if (Received == NNG_ECLOSED)
        return;
      if (Received == 0)
        internal::send(this->Listener->Handle, Answer(Request));
    }
  });
  return absl::OkStatus();
}

void SyncServer::stop() {
  if (this->Listener == nullptr)
    return;
  nng_close(this->Listener->Handle);
  this->Worker.join();
  this->Listener.reset();
}

absl::StatusOr<std::string> requestSync(const std::string &Address,
                                        std::uint16_t Port,
                                        const std::string &Request,
                                        Millis Timeout) {
  const std::string Url = internal::urlOf(Address, Port);
  nng_socket Socket = NNG_SOCKET_INITIALIZER;
  int Error = nng_req0_open(&Socket);
  if (Error != 0)
    return internal::statusOf(Error, Url);
  const internal::SocketCloser Closer{Socket};
  const auto Limit = static_cast<nng_duration>(Timeout.count());
  nng_socket_set_ms(Socket, NNG_OPT_SENDTIMEO, Limit);
  nng_socket_set_ms(Socket, NNG_OPT_RECVTIMEO, Limit);
  nng_socket_set_size(Socket, NNG_OPT_RECVMAXSZ, MaxSyncBytes);
  Error = nng_dial(Socket, Url.c_str(), nullptr, NNG_FLAG_NONBLOCK);
  if (Error == 0)
    Error = internal::send(Socket, Request);
  std::string Reply;
  if (Error == 0)
    Error = internal::receive(Socket, &Reply);
  if (Error != 0)
    return internal::statusOf(Error, Url);
  return Reply;
}

} // namespace persimmonquay
