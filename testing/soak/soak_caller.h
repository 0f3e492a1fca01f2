// A caller that keeps its connections open and checks every response.
#ifndef PERSIMMONQUAY_TESTING_SOAK_SOAK_CALLER_H
#define PERSIMMONQUAY_TESTING_SOAK_SOAK_CALLER_H

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

namespace persimmonquay::testing {

class CallLedger;

/// Returns the body with which an upstream responds to a call. It contains the
/// call's id, so that the response to another call is detected.
std::string soakResponseBody(const std::string &RequestId);

/// Sends calls to random nodes, one at a time, until `Stop` is set. `Ports` are
/// the nodes' ports for callers; each node gets one persistent connection.
/// About a third of the calls are not idempotent. The calls' ids begin with
/// `Name`.
void runSoakCaller(const std::vector<std::uint16_t> &Ports, std::uint64_t Seed,
                   const std::string &Name, const std::atomic<bool> &Stop,
                   CallLedger &Ledger);

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_SOAK_SOAK_CALLER_H
