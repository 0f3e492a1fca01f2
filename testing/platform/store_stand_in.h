// A stand-in for the platform's store, within the test's process.
#ifndef PERSIMMONQUAY_TESTING_PLATFORM_STORE_STAND_IN_H
#define PERSIMMONQUAY_TESTING_PLATFORM_STORE_STAND_IN_H

#include "persimmonquay/base/time.h"
#include <Poco/Net/HTTPServer.h>
#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace persimmonquay::testing {

/// Keeps keyed topics with one partition each in memory. Serves log-append with
/// its condition or epoch, log-read with its wait, and log-newest, and can
/// inject faults. Thread-safe.
class StoreStandIn {
public:
  StoreStandIn();
  ~StoreStandIn();

  std::uint16_t port() const { return this->Port; }

  /// Appends a record, as the operator does.
  void put(const std::string &TopicName, const std::string &Key,
           const std::string &Value);

  /// Returns the newest value of a key, or none when the key does not exist.
  std::optional<std::string> newestValue(const std::string &TopicName,
                                         const std::string &Key);

  /// During an outage every call gets status 503, and waiting reads return.
  void setOutage(bool IsOut);

  /// While the store is silent, it swallows every call, those included that it
  /// is holding: their connections stay open and get no response, also
  /// afterwards. The operator's `put()` goes on.
  void setSilent(bool Enabled);

  /// Returns the number of swallowed calls that their callers still wait for.
  std::size_t openSwallowedCalls() const { return this->SwallowedCalls; }

  /// Carries out the next `Count` appends but responds with status 504. Like a
  /// lost response, it does not tell whether the append was carried out.
  void loseAppendResponses(int Count);

  /// Carries out the next `Count` appends only when `carryOutDelayed()` is
  /// called, and responds with status 504 at once.
  void delayAppends(int Count);
  void carryOutDelayed();

  /// Delays every response from now on.
  void delayResponses(Millis Delay);

  /// Takes a copy of all records, for `restore()`.
  void takeCopy();

  /// Comes back from the copy, as after a drill: what was written since is gone
  /// and its offsets are given out again. The era that responses name rises.
  /// `Rewritten` are records of the operator that are written before any other
  /// call is served.
  void restore(
      const std::vector<std::pair<std::string, std::string>> &Rewritten = {});

  /// Deletes all records of a topic except the newest of each key.
  void compactTopic(const std::string &TopicName);

  /// Returns the number of calls received so far.
  std::uint64_t callCount();

private:
  struct Record {
    std::string Key;
    std::string Value;
    std::uint64_t Offset;
  };
  struct Topic {
    std::uint64_t FirstOffset = 0;
    std::uint64_t EndOffset = 0;
    std::deque<Record> Records;
    std::map<std::string, Record> Newest;
    /// Highest epoch seen, by producer.
    std::map<std::string, std::uint64_t> Epochs;
  };

  void serve(Poco::Net::HTTPServerRequest &Request,
             Poco::Net::HTTPServerResponse &Response);
  /// Holds a call without a response until its caller closes the connection.
  void swallow(Poco::Net::HTTPServerRequest &Request);
  void append(const std::map<std::string, std::string> &Query,
              const std::string &Body, Poco::Net::HTTPServerResponse &Response);
  /// Returns false if the store has turned silent while it held the call.
  bool read(const std::map<std::string, std::string> &Query,
            Poco::Net::HTTPServerResponse &Response);
  void listNewest(const std::map<std::string, std::string> &Query,
                  Poco::Net::HTTPServerResponse &Response);
  /// Appends the records of a call. Requires `Mutex` to be held.
  void appendAll(Topic &TopicLog, const std::string &Body);
  /// Requires `Mutex` to be held.
  void appendRecord(Topic &TopicLog, const std::string &Key,
                    const std::string &Value);

  std::uint16_t Port;
  std::mutex Mutex;
  std::condition_variable TopicChanged;
  std::map<std::string, Topic> Topics;
  std::map<std::string, Topic> Copy;
  std::atomic<std::uint64_t> Era = 1;
  bool Outage = false;
  bool Silent = false;
  std::atomic<bool> Stopping = false;
  std::atomic<std::size_t> SwallowedCalls = 0;
  Millis ResponseDelay{0};
  int ResponsesToLose = 0;
  int AppendsToDelay = 0;
  /// Queries and bodies of delayed appends.
  std::vector<std::pair<std::map<std::string, std::string>, std::string>>
      DelayedAppends;
  std::uint64_t CallCount = 0;
  std::unique_ptr<Poco::Net::HTTPServer> Server;
};

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_PLATFORM_STORE_STAND_IN_H
