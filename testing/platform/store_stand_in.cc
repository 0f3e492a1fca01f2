#include "testing/platform/store_stand_in.h"

#include "testing/free_port.h"
#include "testing/stand_ins/stand_in_server.h"
#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

namespace persimmonquay::testing {
namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxPageItems = 500;

/// Topic that the operator writes to.
constexpr char OperatorTopic[] = "keyed.op";

/// Size of the response to a read; further records need another one.
constexpr std::size_t MaxReadBytes = 1U << 20U;

std::string bigEndian(std::uint64_t Value, int Bytes) {
  std::string Result;
  for (int Shift = (Bytes - 1) * 8; Shift >= 0; Shift -= 8)
    Result.push_back(static_cast<char>((Value >> Shift) & 0xFFU));
  return Result;
}

std::uint64_t fromBigEndian(const std::string &Bytes) {
  std::uint64_t Value = 0;
  for (const char Byte : Bytes)
    Value = (Value << 8U) | static_cast<unsigned char>(Byte);
  return Value;
}

/// Returns whether the condition and the epoch of an append hold, and records
/// the epoch.
bool isAllowed(const std::map<std::string, std::string> &Query,
               std::uint64_t EndOffset,
               std::map<std::string, std::uint64_t> &Epochs) {
  if (Query.contains("at") && std::stoull(Query.at("at")) != EndOffset)
    return false;
  if (!Query.contains("producer"))
    return true;
  std::uint64_t &HighestEpoch = Epochs[Query.at("producer")];
  const std::uint64_t Epoch = std::stoull(Query.at("epoch"));
  if (Epoch < HighestEpoch)
    return false;
  HighestEpoch = Epoch;
  return true;
}

} // namespace

StoreStandIn::StoreStandIn() : Port(freePort()) {
  this->Server = startServer("127.0.0.1", this->Port,
                             [this](Poco::Net::HTTPServerRequest &Request,
                                    Poco::Net::HTTPServerResponse &Response) {
                               this->serve(Request, Response);
                             });
}

StoreStandIn::~StoreStandIn() {
  this->Stopping = true;
  this->setOutage(true);
  this->Server->stopAll(true);
}

void StoreStandIn::appendRecord(Topic &TopicLog, const std::string &Key,
                                const std::string &Value) {
  const Record NewRecord{Key, Value, TopicLog.EndOffset++};
  TopicLog.Records.push_back(NewRecord);
  if (Value.empty())
    TopicLog.Newest.erase(Key);
  else
    TopicLog.Newest[Key] = NewRecord;
  this->TopicChanged.notify_all();
}

void StoreStandIn::put(const std::string &TopicName, const std::string &Key,
                       const std::string &Value) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->appendRecord(this->Topics[TopicName], Key, Value);
}

std::optional<std::string>
StoreStandIn::newestValue(const std::string &TopicName,
                          const std::string &Key) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const Topic &TopicLog = this->Topics[TopicName];
  const auto Found = TopicLog.Newest.find(Key);
  if (Found == TopicLog.Newest.end())
    return std::nullopt;
  return Found->second.Value;
}

void StoreStandIn::setOutage(bool IsOut) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Outage = IsOut;
  this->TopicChanged.notify_all();
}

void StoreStandIn::setSilent(bool Enabled) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Silent = Enabled;
  this->TopicChanged.notify_all();
}

void StoreStandIn::swallow(Poco::Net::HTTPServerRequest &Request) {
  constexpr long CheckMicros = 20000;
  Poco::Net::StreamSocket &Socket =
      dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(Request).socket();
  ++this->SwallowedCalls;
  try {
    while (!this->Stopping && (!Socket.poll(Poco::Timespan(CheckMicros),
                                            Poco::Net::Socket::SELECT_READ) ||
                               Socket.available() > 0))
      continue;
  } catch (const Poco::Exception &) {
    // The caller has reset the connection.
  }
  --this->SwallowedCalls;
  Socket.shutdown();
}

void StoreStandIn::loseAppendResponses(int Count) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->ResponsesToLose = Count;
}

void StoreStandIn::delayResponses(Millis Delay) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->ResponseDelay = Delay;
}

void StoreStandIn::takeCopy() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Copy = this->Topics;
}

void StoreStandIn::restore(
    const std::vector<std::pair<std::string, std::string>> &Rewritten) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Topics = this->Copy;
  ++this->Era;
  for (const auto &[Key, Value] : Rewritten)
    this->appendRecord(this->Topics[OperatorTopic], Key, Value);
  this->TopicChanged.notify_all();
}

void StoreStandIn::compactTopic(const std::string &TopicName) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  Topic &TopicLog = this->Topics[TopicName];
  TopicLog.Records.clear();
  TopicLog.FirstOffset = TopicLog.EndOffset;
  this->TopicChanged.notify_all();
}

std::uint64_t StoreStandIn::callCount() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->CallCount;
}

void StoreStandIn::serve(Poco::Net::HTTPServerRequest &Request,
                         Poco::Net::HTTPServerResponse &Response) {
  const std::string Target = Request.getURI();
  const auto Query = parseQuery(Target);
  std::string Body;
  Poco::StreamCopier::copyToString(Request.stream(), Body);
  Response.set("Store-Era", std::to_string(this->Era));
  Millis Delay{0};
  bool IsSwallowed = false;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    ++this->CallCount;
    IsSwallowed = this->Silent;
    if (this->Outage && !IsSwallowed) {
      sendText(Response, 503, "out");
      return;
    }
    Delay = this->ResponseDelay;
  }
  if (IsSwallowed) {
    this->swallow(Request);
    return;
  }
  std::this_thread::sleep_for(Delay);
  if (Target.starts_with("/-/log-append"))
    this->append(Query, Body, Response);
  else if (Target.starts_with("/-/log-read")) {
    if (!this->read(Query, Response))
      this->swallow(Request);
  } else if (Target.starts_with("/-/log-newest"))
    this->listNewest(Query, Response);
  else
    sendText(Response, 404, "unknown call");
}

void StoreStandIn::delayAppends(int Count) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->AppendsToDelay = Count;
}

void StoreStandIn::carryOutDelayed() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  for (const auto &[Query, Body] : this->DelayedAppends) {
    Topic &TopicLog = this->Topics[Query.at("topic")];
    if (isAllowed(Query, TopicLog.EndOffset, TopicLog.Epochs))
      this->appendAll(TopicLog, Body);
  }
  this->DelayedAppends.clear();
}

void StoreStandIn::appendAll(Topic &TopicLog, const std::string &Body) {
  for (std::size_t Position = 0; Position + 4 < Body.size();) {
    const std::uint64_t Length = fromBigEndian(Body.substr(Position, 4));
    const auto KeyLength = static_cast<unsigned char>(Body[Position + 4]);
    this->appendRecord(
        TopicLog, Body.substr(Position + 5, KeyLength),
        Body.substr(Position + 5 + KeyLength, Length - 1 - KeyLength));
    Position += 4 + Length;
  }
}

void StoreStandIn::append(const std::map<std::string, std::string> &Query,
                          const std::string &Body,
                          Poco::Net::HTTPServerResponse &Response) {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  if (this->AppendsToDelay > 0) {
    --this->AppendsToDelay;
    this->DelayedAppends.emplace_back(Query, Body);
    sendText(Response, 504, "delayed");
    return;
  }
  Topic &TopicLog = this->Topics[Query.at("topic")];
  const std::uint64_t AppendOffset = TopicLog.EndOffset;
  if (!isAllowed(Query, TopicLog.EndOffset, TopicLog.Epochs)) {
    if (Query.contains("at"))
      sendText(Response, 412, Json{{"end", TopicLog.EndOffset}}.dump());
    else
      sendText(Response, 409, Json{{"why", "fenced"}}.dump());
    return;
  }
  this->appendAll(TopicLog, Body);
  if (this->ResponsesToLose > 0) {
    --this->ResponsesToLose;
    Lock.unlock();
    // A status that leaves open what has happened stands in for a lost
    // response.
    sendText(Response, 504, "lost");
    return;
  }
  sendText(Response, 200,
           Json{{"offset", AppendOffset}, {"end", TopicLog.EndOffset}}.dump());
}

bool StoreStandIn::read(const std::map<std::string, std::string> &Query,
                        Poco::Net::HTTPServerResponse &Response) {
  const std::uint64_t ReadOffset = std::stoull(Query.at("from"));
  const auto MaxWait = std::chrono::milliseconds(
      static_cast<int>(numberOr(Query, "wait_ms", 0)));
  std::unique_lock<std::mutex> Lock(this->Mutex);
  this->TopicChanged.wait_for(Lock, MaxWait, [&] {
    const Topic &TopicLog = this->Topics[Query.at("topic")];
    return this->Outage || this->Silent || TopicLog.EndOffset != ReadOffset ||
           TopicLog.FirstOffset > ReadOffset;
  });
  if (this->Silent)
    return false;
  if (this->Outage) {
    sendText(Response, 503, "out");
    return true;
  }
  // The store may have been restored while the read waited.
  Response.set("Store-Era", std::to_string(this->Era));
  const Topic &TopicLog = this->Topics[Query.at("topic")];
  if (ReadOffset < TopicLog.FirstOffset || ReadOffset > TopicLog.EndOffset) {
    sendText(Response, 410, Json{{"first", TopicLog.FirstOffset}}.dump());
    return true;
  }
  std::string Body =
      bigEndian(TopicLog.EndOffset, 8) + bigEndian(TopicLog.FirstOffset, 8);
  for (const Record &Stored : TopicLog.Records) {
    if (Stored.Offset < ReadOffset)
      continue;
    if (Body.size() + Stored.Key.size() + Stored.Value.size() > MaxReadBytes)
      break;
    Body += bigEndian(1 + Stored.Key.size() + Stored.Value.size(), 4);
    Body.push_back(static_cast<char>(Stored.Key.size()));
    Body += Stored.Key + Stored.Value;
  }
  sendText(Response, 200, Body);
  return true;
}

void StoreStandIn::listNewest(const std::map<std::string, std::string> &Query,
                              Poco::Net::HTTPServerResponse &Response) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const Topic &TopicLog = this->Topics[Query.at("topic")];
  Json Items = Json::array();
  auto Next = Query.contains("after")
                  ? TopicLog.Newest.upper_bound(Query.at("after"))
                  : TopicLog.Newest.begin();
  for (; Next != TopicLog.Newest.end() && Items.size() < MaxPageItems; ++Next)
    Items.push_back({{"key", Next->first},
                     {"value", absl::Base64Escape(Next->second.Value)},
                     {"offset", Next->second.Offset}});
  sendText(Response, 200,
           Json{{"items", Items},
                {"more", Next != TopicLog.Newest.end()},
                {"end", TopicLog.EndOffset}}
               .dump());
}

} // namespace persimmonquay::testing
