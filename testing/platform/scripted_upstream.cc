#include "testing/platform/scripted_upstream.h"

#include <Poco/Net/NetException.h>
#include <Poco/Timespan.h>
#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <sys/socket.h>
#include <utility>

namespace persimmonquay::testing {
namespace {

const Poco::Timespan PollInterval(0, 50000);

} // namespace

std::string responseTo(const ReceivedRequest &Request, int Status,
                       const std::string &Body) {
  const auto RequestId = Request.Headers.find("x-persimmonquay-request-id");
  return absl::StrCat(
      "HTTP/1.1 ", Status, " Told\r\nX-Persimmonquay-Request-Id: ",
      RequestId == Request.Headers.end() ? "" : RequestId->second,
      "\r\nX-Persimmonquay-Response-Signature: proof\r\nContent-Length: ",
      Body.size(), "\r\n\r\n", Body);
}

std::string healthResponse(const std::string &Instance) {
  return absl::StrCat("HTTP/1.1 200 OK\r\nX-Persimmonquay-Instance-Id: ",
                      Instance, "\r\nContent-Length: 0\r\n\r\n");
}

ScriptedUpstream::ScriptedUpstream(Handler InitialHandler)
    : CurrentHandler(std::move(InitialHandler)),
      Listener(
          Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0))) {
  this->Port = this->Listener->address().port();
  this->Acceptor = std::thread([this] { this->accept(); });
}

ScriptedUpstream::~ScriptedUpstream() {
  this->Stopping = true;
  this->Acceptor.join();
  for (std::thread &Worker : this->Workers)
    Worker.join();
}

void ScriptedUpstream::setHandler(Handler NewHandler) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->CurrentHandler = std::move(NewHandler);
}

std::vector<ReceivedRequest> ScriptedUpstream::received() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Requests;
}

void ScriptedUpstream::accept() {
  while (!this->Stopping) {
    std::unique_lock<std::mutex> Lock(this->Mutex);
    std::optional<Poco::Net::ServerSocket> Current = this->Listener;
    Lock.unlock();
    if (!Current) {
      std::this_thread::sleep_for(Millis(5));
      continue;
    }
    if (!Current->poll(PollInterval, Poco::Net::Socket::SELECT_READ))
      continue;
    Lock.lock();
    if (!this->Listener)
      continue;
    Poco::Net::StreamSocket Socket = this->Listener->acceptConnection();
    this->Connections.push_back(Socket);
    this->Workers.emplace_back([this, Socket] {
      this->serve(Socket);
      const std::lock_guard<std::mutex> WorkerLock(this->Mutex);
      std::erase(this->Connections, Socket);
    });
  }
}

void ScriptedUpstream::crash(bool KeepsListening) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  ++this->CrashCount;
  if (!KeepsListening) {
    if (this->Listener)
      // Another thread may still hold the socket; new connections must be
      // refused at once.
      ::shutdown(this->Listener->impl()->sockfd(), SHUT_RDWR);
    this->Listener.reset();
  }
  for (Poco::Net::StreamSocket &Connection : this->Connections)
    ::shutdown(Connection.impl()->sockfd(), SHUT_RDWR);
  this->Connections.clear();
}

void ScriptedUpstream::restart() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  if (!this->Listener)
    this->Listener.emplace(Poco::Net::SocketAddress("127.0.0.1", this->Port));
}

bool ScriptedUpstream::isDown() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return !this->Listener;
}

bool ScriptedUpstream::readRequest(Poco::Net::StreamSocket &Socket,
                                   std::string &Buffer,
                                   ReceivedRequest *Request) {
  std::size_t RequestLength = 0;
  while (!this->Stopping) {
    const std::size_t HeadEnd = Buffer.find("\r\n\r\n");
    if (HeadEnd != std::string::npos && RequestLength == 0) {
      const std::vector<std::string> Lines =
          absl::StrSplit(Buffer.substr(0, HeadEnd), "\r\n");
      const std::vector<std::string> RequestLine =
          absl::StrSplit(Lines[0], ' ');
      Request->Method = RequestLine[0];
      Request->Target = RequestLine[1];
      for (std::size_t I = 1; I < Lines.size(); ++I) {
        const std::size_t Colon = Lines[I].find(':');
        Request->Headers[absl::AsciiStrToLower(Lines[I].substr(0, Colon))] =
            std::string(absl::StripAsciiWhitespace(Lines[I].substr(Colon + 1)));
      }
      const auto ContentLength = Request->Headers.find("content-length");
      RequestLength = HeadEnd + 4 +
                      (ContentLength == Request->Headers.end()
                           ? 0
                           : std::stoul(ContentLength->second));
    }
    if (RequestLength != 0 && Buffer.size() >= RequestLength) {
      const std::size_t BodyOffset = Buffer.find("\r\n\r\n") + 4;
      Request->Body = Buffer.substr(BodyOffset, RequestLength - BodyOffset);
      Buffer.erase(0, RequestLength);
      return true;
    }
    if (!Socket.poll(PollInterval, Poco::Net::Socket::SELECT_READ))
      continue;
    char Bytes[8192];
    const int Size = Socket.receiveBytes(Bytes, sizeof(Bytes));
    if (Size <= 0)
      return false;
    Buffer.append(Bytes, static_cast<std::size_t>(Size));
  }
  return false;
}

void ScriptedUpstream::sendWithoutEnd(Poco::Net::StreamSocket &Socket,
                                      const std::string &Response) {
  const std::size_t Separator = Response.find('\0');
  Socket.sendBytes(Response.data() + 1, static_cast<int>(Separator - 1));
  // The sender notices the end of the connection by an exception.
  while (!this->Stopping)
    Socket.sendBytes(Response.data() + Separator + 1,
                     static_cast<int>(Response.size() - Separator - 1));
}

void ScriptedUpstream::serve(Poco::Net::StreamSocket Socket) {
  std::string Buffer;
  try {
    while (true) {
      ReceivedRequest Request;
      if (!this->readRequest(Socket, Buffer, &Request))
        break;
      Handler RequestHandler;
      {
        const std::lock_guard<std::mutex> Lock(this->Mutex);
        Request.Arrival = monoNow();
        this->Requests.push_back(Request);
        RequestHandler = this->CurrentHandler;
      }
      std::string Response = RequestHandler(Request);
      if (Response.empty())
        return;
      if (Response == CrashUpstream || Response == CrashAndRestartUpstream) {
        this->crash(Response == CrashAndRestartUpstream);
        return;
      }
      if (Response[0] == RepeatWithoutEnd) {
        this->sendWithoutEnd(Socket, Response);
        return;
      }
      const bool Close = Response[0] == CloseAfterResponse;
      if (Close)
        Response.erase(0, 1);
      Socket.sendBytes(Response.data(), static_cast<int>(Response.size()));
      if (Close)
        return;
    }
  } catch (const Poco::Exception &) {
    // The other end has reset the connection.
  }
  if (!this->Stopping)
    ++this->ClosedByCaller;
}

} // namespace persimmonquay::testing
