// Decides whom a node asks for a configuration that it hasn't got yet.
//
// Pattern answered: the nodes of a data centre that follow the operator's
// records are cut off from them without noticing, while other data centres have
// a newer configuration; questions or answers are lost, and connections are
// silent. A node then asks again, in turn everybody who is known to have the
// newer one: first in its own data centre, after a while elsewhere too.
#ifndef PERSIMMONQUAY_MESH_CONFIGURATION_SOURCES_H
#define PERSIMMONQUAY_MESH_CONFIGURATION_SOURCES_H

#include "persimmonquay/base/time.h"
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace persimmonquay {

/// Who is known to have newer configurations than this node.
///
/// Pure; not thread-safe.
///
/// Example:
///   Sources.told("node-2", /*IsNear=*/true, 44, Now);
///   if (const auto Ask = Sources.next(43, Now, reachable))
///     send(Ask->Node);
class ConfigurationSources {
public:
  /// A node that is to be asked.
  struct Question {
    std::string Node;
    bool IsNear = true;
  };

  // Commands.

  /// Records that a node has `Version`. `IsNear`: it is of the own data centre.
  void told(const std::string &Node, bool IsNear, std::uint64_t Version,
            MonoTime Now);

  /// Returns the node to ask now, by a node that has `Have` (0: none), and
  /// records the question; none while nothing newer is known, an answer may
  /// still come, or nobody who may be asked is reachable.
  std::optional<Question>
  next(std::uint64_t Have, MonoTime Now,
       const std::function<bool(const std::string &)> &IsReachable);

  // Queries.

  /// Returns since when a newer version than the own one has been known and the
  /// own one has not changed, as of the last `next()`.
  std::optional<MonoTime> behindSince() const { return this->BehindSince; }

private:
  struct Source {
    std::uint64_t Version = 0;
    bool IsNear = true;
    MonoTime AskedAt;
  };

  std::map<std::string, Source> Sources;
  std::optional<MonoTime> BehindSince;
  std::optional<std::uint64_t> LastHave;
  std::uint64_t AskedVersion = 0;
  MonoTime AskedAt;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_MESH_CONFIGURATION_SOURCES_H
