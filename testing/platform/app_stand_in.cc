#include "testing/platform/app_stand_in.h"

#include <Poco/Net/NetException.h>
#include <Poco/Timespan.h>
#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <utility>

namespace persimmonquay::testing {
namespace {

const Poco::Timespan PollInterval(0, 50000);

} // namespace

std::string answerTo(const ReceivedRequest &Request, int Status,
                     const std::string &Body) {
  const auto Id = Request.Headers.find("x-persimmonquay-request-id");
  return absl::StrCat(
      "HTTP/1.1 ", Status, " Told\r\nX-Persimmonquay-Request-Id: ",
      Id == Request.Headers.end() ? "" : Id->second,
      "\r\nX-Persimmonquay-Response-Signature: proof\r\nContent-Length: ",
      Body.size(), "\r\n\r\n", Body);
}

std::string healthAnswer(const std::string &Instance) {
  return absl::StrCat("HTTP/1.1 200 OK\r\nX-Persimmonquay-Instance-Id: ",
                      Instance, "\r\nContent-Length: 0\r\n\r\n");
}

AppStandIn::AppStandIn(Behaviour Told)
    : Answers(std::move(Told)),
      Listener(Poco::Net::SocketAddress("127.0.0.1", 0)) {
  this->Port = this->Listener.address().port();
  this->Acceptor = std::thread([this] { this->accept(); });
}

AppStandIn::~AppStandIn() {
  this->Stopping = true;
  this->Acceptor.join();
  for (std::thread &Worker : this->Workers)
    Worker.join();
}

void AppStandIn::behave(Behaviour Told) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Answers = std::move(Told);
}

std::vector<ReceivedRequest> AppStandIn::received() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Requests;
}

void AppStandIn::accept() {
  while (!this->Stopping) {
    if (!this->Listener.poll(PollInterval, Poco::Net::Socket::SELECT_READ))
      continue;
    Poco::Net::StreamSocket Socket = this->Listener.acceptConnection();
    this->Workers.emplace_back([this, Socket] { this->serve(Socket); });
  }
}

bool AppStandIn::readRequest(Poco::Net::StreamSocket &Socket,
                             std::string &Buffer, ReceivedRequest *Request) {
  std::size_t Wanted = 0;
  while (!this->Stopping) {
    const std::size_t End = Buffer.find("\r\n\r\n");
    if (End != std::string::npos && Wanted == 0) {
      const std::vector<std::string> Lines =
          absl::StrSplit(Buffer.substr(0, End), "\r\n");
      const std::vector<std::string> Start = absl::StrSplit(Lines[0], ' ');
      Request->Method = Start[0];
      Request->Target = Start[1];
      for (std::size_t I = 1; I < Lines.size(); ++I) {
        const std::size_t Colon = Lines[I].find(':');
        Request->Headers[absl::AsciiStrToLower(Lines[I].substr(0, Colon))] =
            std::string(absl::StripAsciiWhitespace(Lines[I].substr(Colon + 1)));
      }
      const auto Length = Request->Headers.find("content-length");
      Wanted =
          End + 4 +
          (Length == Request->Headers.end() ? 0 : std::stoul(Length->second));
    }
    if (Wanted != 0 && Buffer.size() >= Wanted) {
      const std::size_t Head = Buffer.find("\r\n\r\n") + 4;
      Request->Body = Buffer.substr(Head, Wanted - Head);
      Buffer.erase(0, Wanted);
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

void AppStandIn::serve(Poco::Net::StreamSocket Socket) {
  std::string Buffer;
  try {
    while (true) {
      ReceivedRequest Request;
      if (!this->readRequest(Socket, Buffer, &Request))
        break;
      Behaviour Told;
      {
        const std::lock_guard<std::mutex> Lock(this->Mutex);
        Request.Arrival = monoNow();
        this->Requests.push_back(Request);
        Told = this->Answers;
      }
      std::string Answer = Told(Request);
      if (Answer.empty())
        return;
      const bool Close = Answer[0] == ThenClose;
      if (Close)
        Answer.erase(0, 1);
      Socket.sendBytes(Answer.data(), static_cast<int>(Answer.size()));
      if (Close)
        return;
    }
  } catch (const Poco::Exception &) {
    // The caller has reset the connection.
  }
  if (!this->Stopping)
    ++this->Closed;
}

} // namespace persimmonquay::testing
