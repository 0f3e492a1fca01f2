// Stand-in for an upstream on the platform, inside a test.
#ifndef PERSIMMONQUAY_TESTING_PLATFORM_APP_STAND_IN_H
#define PERSIMMONQUAY_TESTING_PLATFORM_APP_STAND_IN_H

#include "persimmonquay/base/time.h"
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace persimmonquay::testing {

/// A request as it arrived at the upstream; names of headers in lower case.
struct ReceivedRequest {
  std::string Method;
  std::string Target;
  std::map<std::string, std::string> Headers;
  std::string Body;
  MonoTime Arrival;
};

/// Returns a whole answer with the request's id and a proof.
std::string answerTo(const ReceivedRequest &Request, int Status = 200,
                     const std::string &Body = "whole body");

/// Returns what an upstream that is well answers to a health check.
std::string healthAnswer(const std::string &Instance);

inline constexpr char ThenClose = '!';

/// Listens on a port of 127.0.0.1 and answers as told, byte for byte.
class AppStandIn {
public:
  /// Returns the bytes to answer; an empty text closes the connection without
  /// an answer, and one that begins with `ThenClose` after the rest of it.
  using Behaviour = std::function<std::string(const ReceivedRequest &)>;

  explicit AppStandIn(Behaviour Answers);
  ~AppStandIn();

  std::uint16_t port() const { return this->Port; }

  void behave(Behaviour Answers);

  /// Returns the requests that have arrived so far.
  std::vector<ReceivedRequest> received();

  /// Returns how many connections callers have closed.
  int closedByCaller() const { return this->Closed; }

private:
  void accept();
  void serve(Poco::Net::StreamSocket Socket);
  bool readRequest(Poco::Net::StreamSocket &Socket, std::string &Buffer,
                   ReceivedRequest *Request);

  std::uint16_t Port;
  std::mutex Mutex;
  Behaviour Answers;
  std::vector<ReceivedRequest> Requests;
  std::atomic<bool> Stopping = false;
  std::atomic<int> Closed = 0;
  Poco::Net::ServerSocket Listener;
  std::thread Acceptor;
  std::vector<std::thread> Workers;
};

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_PLATFORM_APP_STAND_IN_H
