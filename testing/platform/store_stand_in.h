// Stand-in for the platform's store, inside a test.
#ifndef PERSIMMONQUAY_TESTING_PLATFORM_STORE_STAND_IN_H
#define PERSIMMONQUAY_TESTING_PLATFORM_STORE_STAND_IN_H

#include <Poco/Net/HTTPServer.h>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace persimmonquay::testing {

/// Keeps keyed topics of one partition in memory and serves log-append with
/// conditions, log-read that waits, and log-newest. Faults can be switched on.
/// Thread-safe.
class StoreStandIn {
public:
  StoreStandIn();
  ~StoreStandIn();

  std::uint16_t port() const { return this->Port; }

  /// Writes a record as the operator does.
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value);

  /// Returns the newest value of a key.
  std::optional<std::string> newest(const std::string &Topic,
                                    const std::string &Key);

  /// While out, every call gets 503; reads that wait end.
  void setOutage(bool Out);

  /// The next appends are carried out and their connections closed without an
  /// answer.
  void loseAnswers(int Count);

  /// Drops the records of a topic but the newest of each key.
  void forgetHistory(const std::string &Topic);

  /// Returns the calls served so far.
  std::uint64_t calls();

private:
  struct Record {
    std::string Key;
    std::string Value;
    std::uint64_t Offset;
  };
  struct Topic {
    std::uint64_t First = 0;
    std::uint64_t End = 0;
    std::deque<Record> Records;
    std::map<std::string, Record> Newest;
  };

  void serve(Poco::Net::HTTPServerRequest &Request,
             Poco::Net::HTTPServerResponse &Response);
  void append(const std::map<std::string, std::string> &Query,
              const std::string &Body, Poco::Net::HTTPServerResponse &Response);
  void read(const std::map<std::string, std::string> &Query,
            Poco::Net::HTTPServerResponse &Response);
  void list(const std::map<std::string, std::string> &Query,
            Poco::Net::HTTPServerResponse &Response);
  void store(Topic &Kept, const std::string &Key, const std::string &Value);

  std::uint16_t Port;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, Topic> Topics;
  bool Outage = false;
  int LostAnswers = 0;
  std::uint64_t Calls = 0;
  std::unique_ptr<Poco::Net::HTTPServer> Server;
};

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_PLATFORM_STORE_STAND_IN_H
