// The load that an upstream reports with its responses.
#ifndef PERSIMMONQUAY_TRAFFIC_UPSTREAM_LOAD_H
#define PERSIMMONQUAY_TRAFFIC_UPSTREAM_LOAD_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace persimmonquay {

/// Longest text that is read; the figures take far less.
inline constexpr std::size_t MaxUpstreamLoadLength = 64;

struct UpstreamLoad {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 0;
  /// How long work takes on the upstream's host as a percentage of the usual
  /// time; 0 if unknown.
  std::uint32_t WorkPercent = 0;
};

/// Reads three or more figures, separated by commas; further ones are ignored.
/// Returns none if the text is anything else.
std::optional<UpstreamLoad> parseUpstreamLoad(std::string_view Text);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_TRAFFIC_UPSTREAM_LOAD_H
