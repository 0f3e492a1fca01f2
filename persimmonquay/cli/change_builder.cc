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
bool containsName(const List &Resources, const std::string &Name) {
  return std::any_of(
      Resources.begin(), Resources.end(),
      [&](const auto &Resource) { return Resource.name() == Name; });
}

/// Adds a removal for each resource in `Current` that is not in `Desired`.
template <typename Map, typename List>
void addRemovals(const Map &Current, const List &Desired,
                 proto::ResourceKind Kind, proto::Change *Change) {
  for (const auto &[Name, Existing] : Current) {
    if (containsName(Desired, Name))
      continue;
    proto::Removal *Removal = Change->add_removals();
    Removal->set_kind(Kind);
    Removal->set_name(Name);
    Removal->set_based_on(Existing.version());
  }
}

} // namespace internal

ChangeBuilder::ChangeBuilder(const proto::ConfigurationState &State)
    : State(State) {}

ChangeBuilder &ChangeBuilder::author(const std::string &Author) {
  this->Change.set_author(Author);
  return *this;
}

ChangeBuilder &ChangeBuilder::comment(const std::string &Comment) {
  this->Change.set_comment(Comment);
  return *this;
}

ChangeBuilder &
ChangeBuilder::writeChangedResources(const proto::ResourceFile &File) {
  for (proto::Service Service : File.services()) {
    const auto Existing = this->State.services().find(Service.name());
    const bool Exists = Existing != this->State.services().end();
    if (Exists)
      Service.set_active_version(Existing->second.service().active_version());
    if (Exists && internal::MessageDifferencer::Equals(
                      Service, Existing->second.service()))
      continue;
    proto::Write *Write = this->Change.add_writes();
    *Write->mutable_resource()->mutable_service() = Service;
    Write->set_based_on(Exists ? Existing->second.version() : 0);
  }
  for (const proto::Route &Route : File.routes()) {
    const auto Existing = this->State.routes().find(Route.name());
    const bool Exists = Existing != this->State.routes().end();
    if (Exists &&
        internal::MessageDifferencer::Equals(Route, Existing->second.route()))
      continue;
    proto::Write *Write = this->Change.add_writes();
    *Write->mutable_resource()->mutable_route() = Route;
    Write->set_based_on(Exists ? Existing->second.version() : 0);
  }
  return *this;
}

ChangeBuilder &ChangeBuilder::removeMissing(const proto::ResourceFile &File) {
  internal::addRemovals(this->State.routes(), File.routes(), proto::ROUTE,
                        &this->Change);
  internal::addRemovals(this->State.services(), File.services(), proto::SERVICE,
                        &this->Change);
  return *this;
}

ChangeBuilder &ChangeBuilder::startMove(const proto::Move &Move) {
  *this->Change.add_writes()->mutable_resource()->mutable_move() = Move;
  return *this;
}

bool ChangeBuilder::empty() const {
  return this->Change.writes().empty() && this->Change.removals().empty();
}

proto::Change ChangeBuilder::build(WallTime Now) const {
  proto::Change Result = this->Change;
  std::random_device Random;
  const std::uint64_t High = Random();
  Result.set_id(hashToHex(High << 32 | Random()));
  Result.set_written_unix_ms(unixMillis(Now));
  return Result;
}

} // namespace persimmonquay
