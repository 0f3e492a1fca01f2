#include "testing/platform/store_stand_in.h"

#include "testing/free_port.h"
#include "testing/stand_ins/stand_in_server.h"
#include <Poco/StreamCopier.h>
#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <chrono>
#include <nlohmann/json.hpp>
#include <vector>

namespace persimmonquay::testing {
namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxListed = 500;

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

} // namespace

StoreStandIn::StoreStandIn() : Port(freePort()) {
  this->Server = startServer("127.0.0.1", this->Port,
                             [this](Poco::Net::HTTPServerRequest &Request,
                                    Poco::Net::HTTPServerResponse &Response) {
                               this->serve(Request, Response);
                             });
}

StoreStandIn::~StoreStandIn() {
  this->setOutage(true);
  this->Server->stopAll(true);
}

void StoreStandIn::store(Topic &Kept, const std::string &Key,
                         const std::string &Value) {
  const Record Added{Key, Value, Kept.End++};
  Kept.Records.push_back(Added);
  if (Value.empty())
    Kept.Newest.erase(Key);
  else
    Kept.Newest[Key] = Added;
  this->Changed.notify_all();
}

void StoreStandIn::put(const std::string &Name, const std::string &Key,
                       const std::string &Value) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->store(this->Topics[Name], Key, Value);
}

std::optional<std::string> StoreStandIn::newest(const std::string &Name,
                                                const std::string &Key) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const Topic &Kept = this->Topics[Name];
  const auto Found = Kept.Newest.find(Key);
  if (Found == Kept.Newest.end())
    return std::nullopt;
  return Found->second.Value;
}

void StoreStandIn::setOutage(bool Out) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Outage = Out;
  this->Changed.notify_all();
}

void StoreStandIn::loseAnswers(int Count) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->LostAnswers = Count;
}

void StoreStandIn::forgetHistory(const std::string &Name) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  Topic &Kept = this->Topics[Name];
  Kept.Records.clear();
  Kept.First = Kept.End;
  this->Changed.notify_all();
}

std::uint64_t StoreStandIn::calls() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Calls;
}

void StoreStandIn::serve(Poco::Net::HTTPServerRequest &Request,
                         Poco::Net::HTTPServerResponse &Response) {
  const std::string Target = Request.getURI();
  const auto Query = queryOf(Target);
  std::string Body;
  Poco::StreamCopier::copyToString(Request.stream(), Body);
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    ++this->Calls;
    if (this->Outage) {
      sendText(Response, 503, "out");
      return;
    }
  }
  if (Target.starts_with("/-/log-append"))
    this->append(Query, Body, Response);
  else if (Target.starts_with("/-/log-read"))
    this->read(Query, Response);
  else if (Target.starts_with("/-/log-newest"))
    this->list(Query, Response);
  else
    sendText(Response, 404, "unknown call");
}

void StoreStandIn::append(const std::map<std::string, std::string> &Query,
                          const std::string &Body,
                          Poco::Net::HTTPServerResponse &Response) {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  Topic &Kept = this->Topics[Query.at("topic")];
  const std::uint64_t First = Kept.End;
  if (Query.contains("at") && std::stoull(Query.at("at")) != Kept.End) {
    sendText(Response, 412, Json{{"end", Kept.End}}.dump());
    return;
  }
  for (std::size_t At = 0; At + 4 < Body.size();) {
    const std::uint64_t Length = fromBigEndian(Body.substr(At, 4));
    const auto KeyLength = static_cast<unsigned char>(Body[At + 4]);
    this->store(Kept, Body.substr(At + 5, KeyLength),
                Body.substr(At + 5 + KeyLength, Length - 1 - KeyLength));
    At += 4 + Length;
  }
  if (this->LostAnswers > 0) {
    --this->LostAnswers;
    Lock.unlock();
    // A status that promises nothing stands for the lost answer.
    sendText(Response, 504, "lost");
    return;
  }
  sendText(Response, 200, Json{{"offset", First}, {"end", Kept.End}}.dump());
}

void StoreStandIn::read(const std::map<std::string, std::string> &Query,
                        Poco::Net::HTTPServerResponse &Response) {
  const std::uint64_t From = std::stoull(Query.at("from"));
  const auto Wait = std::chrono::milliseconds(
      static_cast<int>(numberOr(Query, "wait_ms", 0)));
  std::unique_lock<std::mutex> Lock(this->Mutex);
  Topic &Kept = this->Topics[Query.at("topic")];
  this->Changed.wait_for(Lock, Wait, [&] {
    return this->Outage || Kept.End > From || Kept.First > From;
  });
  if (this->Outage) {
    sendText(Response, 503, "out");
    return;
  }
  if (From < Kept.First) {
    sendText(Response, 410, Json{{"first", Kept.First}}.dump());
    return;
  }
  std::string Body = bigEndian(Kept.End, 8) + bigEndian(Kept.First, 8);
  for (const Record &Each : Kept.Records) {
    if (Each.Offset < From)
      continue;
    Body += bigEndian(1 + Each.Key.size() + Each.Value.size(), 4);
    Body.push_back(static_cast<char>(Each.Key.size()));
    Body += Each.Key + Each.Value;
  }
  sendText(Response, 200, Body);
}

void StoreStandIn::list(const std::map<std::string, std::string> &Query,
                        Poco::Net::HTTPServerResponse &Response) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const Topic &Kept = this->Topics[Query.at("topic")];
  Json Items = Json::array();
  auto Next = Query.contains("after")
                  ? Kept.Newest.upper_bound(Query.at("after"))
                  : Kept.Newest.begin();
  for (; Next != Kept.Newest.end() && Items.size() < MaxListed; ++Next)
    Items.push_back({{"key", Next->first},
                     {"value", absl::Base64Escape(Next->second.Value)},
                     {"offset", Next->second.Offset}});
  sendText(Response, 200,
           Json{{"items", Items},
                {"more", Next != Kept.Newest.end()},
                {"end", Kept.End}}
               .dump());
}

} // namespace persimmonquay::testing
