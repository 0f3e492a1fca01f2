// Builds the change that turns the active configuration into a desired one.
#ifndef PERSIMMONQUAY_CLI_CHANGE_BUILDER_H
#define PERSIMMONQUAY_CLI_CHANGE_BUILDER_H

#include "persimmonquay/base/time.h"
#include "proto/configuration.pb.h"
#include "proto/operators.pb.h"
#include <string>

namespace persimmonquay {

/// Builds one change. Writes and removals of services and routes are based on
/// their versions in the given state, so that a change that another operator
/// makes in the meantime causes a conflict. The state must outlive the builder.
///
/// Example:
///   proto::Change Change = ChangeBuilder(State)
///                              .author("ada")
///                              .writeChangedResources(File)
///                              .build(wallNow());
class ChangeBuilder {
public:
  explicit ChangeBuilder(const proto::ConfigurationState &State);

  ChangeBuilder &author(const std::string &Author);
  ChangeBuilder &comment(const std::string &Comment);

  /// Adds a write for each resource of `File` that differs from the state.
  /// Keeps the active version of an existing service, because only moves change
  /// it.
  ChangeBuilder &writeChangedResources(const proto::ResourceFile &File);

  /// Adds a removal for each service and route that `File` does not contain.
  ChangeBuilder &removeMissing(const proto::ResourceFile &File);

  /// Adds the write of a new move.
  ChangeBuilder &startMove(const proto::Move &Move);

  /// Returns whether the change contains no writes and no removals.
  bool empty() const;

  /// Returns the change with a new random id and `Now` as its time.
  proto::Change build(WallTime Now) const;

private:
  const proto::ConfigurationState &State;
  proto::Change Change;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_CLI_CHANGE_BUILDER_H
