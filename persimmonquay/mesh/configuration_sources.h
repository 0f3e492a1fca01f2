// Selects the node from which to request a newer configuration.
//
// Failure handled: the nodes of a data centre that follow the operator's
// records lose contact with them without noticing, while other data centres
// have a newer configuration. Requests and replies may get lost, and
// connections may stall without an error. A node then repeats its request. It
// takes turns among all nodes known to have a newer version: at first those of
// its own data centre, after a delay those of other data centres too.
#ifndef PERSIMMONQUAY_MESH_CONFIGURATION_SOURCES_H
#define PERSIMMONQUAY_MESH_CONFIGURATION_SOURCES_H

#include "persimmonquay/base/time.h"
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace persimmonquay {

/// The nodes known to have a newer configuration than this node.
///
/// Does no I/O and reads no clock. Not thread-safe.
///
/// Example:
///   Sources.recordVersion("node-2", /*IsLocal=*/true, 44, Now);
///   if (const auto Request = Sources.nextRequest(43, Now, isReachable))
///     sendRequest(Request->Node);
class ConfigurationSources {
public:
  /// Names the node to which a request is to be sent.
  struct Request {
    std::string Node;
    bool IsLocal = true;
  };

  // Commands.

  /// Records that `Node` has `Version`. `IsLocal` says whether the node is in
  /// this node's data centre.
  void recordVersion(const std::string &Node, bool IsLocal,
                     std::uint64_t Version, MonoTime Now);

  /// Returns the request to send now and records it as sent. `OwnVersion` is
  /// the version that this node has (0: none). Returns nothing while no newer
  /// version is known, a reply is still expected or no eligible node is
  /// reachable.
  std::optional<Request>
  nextRequest(std::uint64_t OwnVersion, MonoTime Now,
              const std::function<bool(const std::string &)> &IsReachable);

  // Queries.

  /// Returns the time since which a newer version has been known while this
  /// node's own version did not change, as of the last `nextRequest()`.
  std::optional<MonoTime> behindSince() const { return this->BehindSince; }

private:
  struct Source {
    std::uint64_t Version = 0;
    bool IsLocal = true;
    MonoTime RequestedAt;
  };

  std::map<std::string, Source> Sources;
  std::optional<MonoTime> BehindSince;
  std::optional<std::uint64_t> LastOwnVersion;
  std::uint64_t RequestedVersion = 0;
  MonoTime LastRequestAt;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_MESH_CONFIGURATION_SOURCES_H
