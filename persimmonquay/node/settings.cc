#include "persimmonquay/node/settings.h"

#include "persimmonquay/base/checked_json.h"
#include "persimmonquay/base/logging.h"
#include "proto/settings.pb.h"
#include <Poco/Exception.h>
#include <Poco/Net/IPAddress.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/URI.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <map>
#include <vector>

namespace persimmonquay {
namespace internal {

constexpr std::uint32_t DefaultProbeIntervalMs = 1000;
constexpr std::uint32_t DefaultSuspicionMs = 3000;
constexpr std::uint32_t DefaultAnnouncementLeaseMs = 3000;
constexpr std::uint32_t DefaultMaxBodyBytes = 1 << 20;
constexpr std::uint32_t DefaultSnapshotEveryRecords = 200;
constexpr std::uint32_t DefaultKeyLifetimeS = 24 * 3600;
constexpr std::uint32_t DefaultCallerThreads = 512;
constexpr std::uint32_t MaxPort = 65535;
constexpr std::uint32_t MinIntervalMs = 50;

void fillDefaults(proto::NodeSettings *Settings) {
  if (Settings->probe_interval_ms() == 0)
    Settings->set_probe_interval_ms(DefaultProbeIntervalMs);
  if (Settings->suspicion_ms() == 0)
    Settings->set_suspicion_ms(DefaultSuspicionMs);
  if (Settings->announcement_lease_ms() == 0)
    Settings->set_announcement_lease_ms(DefaultAnnouncementLeaseMs);
  if (Settings->max_body_bytes() == 0)
    Settings->set_max_body_bytes(DefaultMaxBodyBytes);
  if (Settings->snapshot_every_records() == 0)
    Settings->set_snapshot_every_records(DefaultSnapshotEveryRecords);
  if (Settings->key_lifetime_s() == 0)
    Settings->set_key_lifetime_s(DefaultKeyLifetimeS);
  if (Settings->caller_threads() == 0)
    Settings->set_caller_threads(DefaultCallerThreads);
  if (Settings->log_level().empty())
    Settings->set_log_level("info");
}

/// Collects error messages, one per line.
class ErrorCollector {
public:
  explicit ErrorCollector(std::string_view FileName) : FileName(FileName) {}

  /// Adds `Message` unless `Condition` holds.
  void require(bool Condition, const std::string &Message) {
    if (!Condition)
      this->Lines.push_back(absl::StrCat(this->FileName, ": ", Message));
  }

  absl::Status status() const {
    return this->Lines.empty()
               ? absl::OkStatus()
               : absl::InvalidArgumentError(absl::StrJoin(this->Lines, "\n"));
  }

private:
  std::string FileName;
  std::vector<std::string> Lines;
};

bool isIpAddress(const std::string &Text) {
  Poco::Net::IPAddress Address;
  return Poco::Net::IPAddress::tryParse(Text, Address);
}

bool isIpAndPort(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos || !isIpAddress(Text.substr(0, Colon)))
    return false;
  try {
    return Poco::Net::SocketAddress(Text).port() != 0;
  } catch (const Poco::Exception &) {
    return false;
  }
}

bool isHttpUrl(const std::string &Text) {
  try {
    const Poco::URI Url(Text);
    return Url.getScheme() == "http" && isIpAddress(Url.getHost());
  } catch (const Poco::Exception &) {
    return false;
  }
}

void checkPorts(const proto::NodeSettings &Settings, ErrorCollector *Errors) {
  std::map<std::uint32_t, std::string> Owners;
  for (const auto &[Name, Port] :
       {std::pair<std::string, std::uint32_t>("caller_port",
                                              Settings.caller_port()),
        {"ingress_port", Settings.ingress_port()},
        {"local_port", Settings.local_port()},
        {"peer_port", Settings.peer_port()},
        {"operator_port", Settings.operator_port()}}) {
    Errors->require(Port >= 1 && Port <= MaxPort,
                    absl::StrCat("\"", Name, "\" is ", Port,
                                 ", not between 1 and ", MaxPort));
    const auto [Owner, Inserted] = Owners.emplace(Port, Name);
    Errors->require(Inserted, absl::StrCat("\"", Owner->second, "\" and \"",
                                           Name, "\" are both ", Port));
  }
}

void checkTimes(const proto::NodeSettings &Settings, ErrorCollector *Errors) {
  for (const auto &[Name, Value] :
       {std::pair<std::string, std::uint32_t>("probe_interval_ms",
                                              Settings.probe_interval_ms()),
        {"suspicion_ms", Settings.suspicion_ms()},
        {"announcement_lease_ms", Settings.announcement_lease_ms()}})
    Errors->require(Value >= MinIntervalMs,
                    absl::StrCat("\"", Name, "\" is ", Value,
                                 " ms, less than the minimum of ",
                                 MinIntervalMs, " ms"));
}

} // namespace internal

absl::Status readSettings(std::string_view Text, std::string_view FileName,
                          proto::NodeSettings *Settings) {
  proto::NodeSettings NewSettings;
  absl::Status ParseStatus = readCheckedJson(Text, FileName, &NewSettings);
  if (!ParseStatus.ok())
    return ParseStatus;
  internal::fillDefaults(&NewSettings);
  internal::ErrorCollector Errors(FileName);
  Errors.require(!NewSettings.node().empty(), "\"node\" is missing");
  Errors.require(!NewSettings.data_centre().empty(),
                 "\"data_centre\" is missing");
  Errors.require(internal::isIpAddress(NewSettings.address()),
                 absl::StrCat("\"address\" is \"", NewSettings.address(),
                              "\", not an IP address"));
  Errors.require(internal::isHttpUrl(NewSettings.log_url()),
                 absl::StrCat("\"log_url\" is \"", NewSettings.log_url(),
                              "\", not of the form http://IP:port"));
  for (const std::string &Seed : NewSettings.seeds())
    Errors.require(
        internal::isIpAndPort(Seed),
        absl::StrCat("seed \"", Seed, "\" is not of the form IP:port"));
  internal::checkPorts(NewSettings, &Errors);
  internal::checkTimes(NewSettings, &Errors);
  LogLevel Level = LogLevel::Info;
  const absl::Status LevelStatus =
      parseLogLevel(NewSettings.log_level(), &Level);
  Errors.require(LevelStatus.ok(), std::string(LevelStatus.message()));
  absl::Status Result = Errors.status();
  if (Result.ok())
    *Settings = NewSettings;
  return Result;
}

} // namespace persimmonquay
