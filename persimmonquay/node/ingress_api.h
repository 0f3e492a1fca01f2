// The port on which other nodes pass calls to this node's upstream.
#ifndef PERSIMMONQUAY_NODE_INGRESS_API_H
#define PERSIMMONQUAY_NODE_INGRESS_API_H

#include "persimmonquay/node/call.h"

namespace persimmonquay {

class Ingress;

/// Translates between HTTP headers and Ingress. Thread-safe. Example:
///   CallReply Reply = Api.serve(Request);
class IngressApi {
public:
  explicit IngressApi(Ingress *OwnIngress);

  /// Runs the call; the reply's header TryHeader tells how the try ended, and
  /// CallHeader repeats the call's number.
  CallReply serve(const CallRequest &Request) const;

private:
  Ingress *const OwnIngress;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_NODE_INGRESS_API_H
