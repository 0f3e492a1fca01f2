#include "persimmonquay/cli/change_builder.h"

#include "persimmonquay/base/hashing.h"
#include <algorithm>
#include <google/protobuf/util/message_differencer.h>
#include <random>
#include <string_view>

namespace persimmonquay {
namespace internal {

using google::protobuf::util::MessageDifferencer;

template <typename List>
bool names(const List &Resources, const std::string &Name) {
  return std::any_of(Resources.begin(), Resources.end(),
                     [&](const auto &One) { return One.name() == Name; });
}

/// Adds a removal for each resource of `Current` that `Wanted` doesn't name.
template <typename Map, typename List>
void addRemovals(const Map &Current, const List &Wanted,
                 proto::ResourceKind Kind, proto::Change *Change) {
  for (const auto &[Name, Known] : Current) {
    if (names(Wanted, Name))
      continue;
    proto::Removal *Removal = Change->add_removals();
    Removal->set_kind(Kind);
    Removal->set_name(Name);
    Removal->set_based_on(Known.version());
  }
}

} // namespace internal

ChangeBuilder::ChangeBuilder(const proto::ConfigurationState &State)
    : State(State) {}

ChangeBuilder &ChangeBuilder::author(const std::string &Value) {
  this->Built.set_author(Value);
  return *this;
}

ChangeBuilder &ChangeBuilder::comment(const std::string &Value) {
  this->Built.set_comment(Value);
  return *this;
}

ChangeBuilder &
ChangeBuilder::writeChangedResources(const proto::ResourceFile &File) {
  for (proto::Service Service : File.services()) {
    const auto Known = this->State.services().find(Service.name());
    const bool Exists = Known != this->State.services().end();
    if (Exists)
      Service.set_active_version(Known->second.service().active_version());
    if (Exists &&
        internal::MessageDifferencer::Equals(Service, Known->second.service()))
      continue;
    proto::Write *Write = this->Built.add_writes();
    *Write->mutable_resource()->mutable_service() = Service;
    Write->set_based_on(Exists ? Known->second.version() : 0);
  }
  for (const proto::Route &Route : File.routes()) {
    const auto Known = this->State.routes().find(Route.name());
    const bool Exists = Known != this->State.routes().end();
    if (Exists &&
        internal::MessageDifferencer::Equals(Route, Known->second.route()))
      continue;
    proto::Write *Write = this->Built.add_writes();
    *Write->mutable_resource()->mutable_route() = Route;
    Write->set_based_on(Exists ? Known->second.version() : 0);
  }
  return *this;
}

ChangeBuilder &ChangeBuilder::removeMissing(const proto::ResourceFile &File) {
  internal::addRemovals(this->State.routes(), File.routes(), proto::ROUTE,
                        &this->Built);
  internal::addRemovals(this->State.services(), File.services(), proto::SERVICE,
                        &this->Built);
  return *this;
}

ChangeBuilder &ChangeBuilder::move(const proto::Move &Move) {
  *this->Built.add_writes()->mutable_resource()->mutable_move() = Move;
  return *this;
}

bool ChangeBuilder::empty() const {
  return this->Built.writes().empty() && this->Built.removals().empty();
}

proto::Change ChangeBuilder::build(WallTime Now) const {
  proto::Change Result = this->Built;
  std::random_device Random;
  const std::uint64_t High = Random();
  Result.set_id(hashToHex(High << 32 | Random()));
  Result.set_written_unix_ms(unixMillis(Now));
  return Result;
}

} // namespace persimmonquay
