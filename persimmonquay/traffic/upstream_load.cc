#include "persimmonquay/traffic/upstream_load.h"

#include "persimmonquay/base/trim.h"
#include <array>
#include <charconv>

namespace persimmonquay {
namespace internal {

constexpr std::size_t MinFigures = 3;

} // namespace internal

std::optional<UpstreamLoad> parseUpstreamLoad(std::string_view Text) {
  if (Text.size() > MaxUpstreamLoadLength)
    return std::nullopt;
  std::array<std::uint32_t, 4> Figures{};
  std::size_t Count = 0;
  for (bool IsLast = false; !IsLast && Count < Figures.size(); ++Count) {
    const std::size_t Comma = Text.find(',');
    IsLast = Comma == Text.npos;
    const std::string_view Figure = trim(Text.substr(0, Comma));
    const auto [End, Error] =
        std::from_chars(Figure.begin(), Figure.end(), Figures[Count]);
    if (Error != std::errc() || End != Figure.end())
      return std::nullopt;
    Text.remove_prefix(IsLast ? Text.size() : Comma + 1);
  }
  if (Count < internal::MinFigures)
    return std::nullopt;
  return UpstreamLoad{Figures[0], Figures[1], Figures[2], Figures[3]};
}

} // namespace persimmonquay
