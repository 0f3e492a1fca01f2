// A caller that keeps its connections open and checks every answer.
#ifndef PERSIMMONQUAY_TESTING_SOAK_SOAK_CALLER_H
#define PERSIMMONQUAY_TESTING_SOAK_SOAK_CALLER_H

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

namespace persimmonquay::testing {

class CallLedger;

/// Returns the body that an upstream gives to a call; names the call, so that
/// an answer to another one is told apart.
std::string soakBody(const std::string &Id);

/// Sends calls to the nodes at `Ports`, one at a time, over one kept connection
/// for each, until `Stop` is set. About a third must not run twice.
void runSoakCaller(const std::vector<std::uint16_t> &Ports, std::uint64_t Seed,
                   const std::string &Name, const std::atomic<bool> &Stop,
                   CallLedger &Ledger);

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_SOAK_SOAK_CALLER_H
