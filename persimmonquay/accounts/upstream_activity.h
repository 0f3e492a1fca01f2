// What the upstream on a node's host may be doing.
#ifndef PERSIMMONQUAY_ACCOUNTS_UPSTREAM_ACTIVITY_H
#define PERSIMMONQUAY_ACCOUNTS_UPSTREAM_ACTIVITY_H

namespace persimmonquay {

/// What is known of the calls that run at the upstream on this host.
enum class UpstreamActivity {
  Idle,
  MayBeRunning,
  /// It has run calls a moment ago, or may be running calls of this node's
  /// earlier run; calls that it made meanwhile may arrive late.
  Unknown,
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_ACCOUNTS_UPSTREAM_ACTIVITY_H
