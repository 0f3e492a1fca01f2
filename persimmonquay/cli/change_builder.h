// Makes the change that turns the configuration in force into a wanted one.
#ifndef PERSIMMONQUAY_CLI_CHANGE_BUILDER_H
#define PERSIMMONQUAY_CLI_CHANGE_BUILDER_H

#include "persimmonquay/base/time.h"
#include "proto/configuration.pb.h"
#include "proto/operators.pb.h"
#include <string>

namespace persimmonquay {

/// Builds one change. Writes are based on the versions in the given state, so
/// that a change made meanwhile by another operator is a conflict.
///
/// Example:
///   proto::Change Change =
///   ChangeBuilder(State).author("ada").writeChangedResources(File)
///                              .build(wallNow());
class ChangeBuilder {
public:
  explicit ChangeBuilder(const proto::ConfigurationState &State);

  ChangeBuilder &author(const std::string &Value);
  ChangeBuilder &comment(const std::string &Value);

  /// Writes every resource of `File` that differs from the state. The active
  /// version of a service that exists is left as it is: moves change it.
  ChangeBuilder &writeChangedResources(const proto::ResourceFile &File);

  /// Removes every service and route that `File` does not name.
  ChangeBuilder &removeMissing(const proto::ResourceFile &File);

  ChangeBuilder &move(const proto::Move &Move);

  bool empty() const;

  /// Returns the change, with a fresh id.
  proto::Change build(WallTime Now) const;

private:
  const proto::ConfigurationState &State;
  proto::Change Built;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_CLI_CHANGE_BUILDER_H
