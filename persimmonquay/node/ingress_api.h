// Serves calls that other nodes forward to this node's upstream.
#ifndef PERSIMMONQUAY_NODE_INGRESS_API_H
#define PERSIMMONQUAY_NODE_INGRESS_API_H

#include "persimmonquay/node/call.h"

namespace persimmonquay {

class Ingress;

/// Converts forwarded HTTP requests to calls of Ingress, and their results to
/// HTTP responses.
///
/// Thread-safe. Example:
///   CallResponse Response = Api.serve(Request);
class IngressApi {
public:
  explicit IngressApi(Ingress *LocalIngress);

  /// Runs the call. The response states the result in AttemptResultHeader and
  /// repeats the request's CallIdHeader, which lets the sender check that the
  /// response belongs to its call.
  CallResponse serve(const CallRequest &Request) const;

private:
  Ingress *const LocalIngress;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_NODE_INGRESS_API_H
