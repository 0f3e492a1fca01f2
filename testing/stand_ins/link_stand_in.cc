// Stand-in for the network links between data centres and to the log. Forwards
// TCP connections and UDP datagrams by the rules in a file, one on each line:
//   LINK tcp|udp LISTEN_ADDRESS TARGET_ADDRESS PORT
// Faults of a link are set by
//   POST /control?link=LINK&cut=0|1&delay_ms=N&one_way=0|1&silence=1
// cut: closes and refuses connections, and drops datagrams.
// delay_ms: delays every datagram and every chunk of data by N milliseconds.
// one_way: holds back all TCP data from the target.
// silence: connections that are open now forward nothing more; new ones work.
#include "testing/stand_ins/stand_in_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <atomic>
#include <chrono>
#include <fstream>
#include <memory>
#include <sstream>
#include <thread>
#include <vector>

namespace persimmonquay::testing {
namespace {

using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

const Poco::Timespan PollInterval(50000);

/// The faults that are set on a link.
struct LinkFaults {
  std::atomic<bool> Cut = false;
  std::atomic<int> DelayMs = 0;
  std::atomic<bool> OneWay = false;
  /// Connections opened in an earlier generation forward nothing.
  std::atomic<int> Generation = 0;
};

struct ForwardingRule {
  std::string LinkName;
  std::string Protocol;
  std::string ListenAddress;
  std::string TargetAddress;
  unsigned short Port = 0;
};

void delay(const LinkFaults &Faults) {
  if (Faults.DelayMs > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(Faults.DelayMs));
}

/// Forwards one direction of a connection until either side closes it or the
/// link is cut.
void copy(StreamSocket Source, StreamSocket Destination,
          const LinkFaults *Faults, bool FromTarget) {
  const int Generation = Faults->Generation;
  std::array<char, 16384> Buffer;
  try {
    while (!Faults->Cut) {
      if (!Source.poll(PollInterval, Poco::Net::Socket::SELECT_READ))
        continue;
      if (Faults->Generation != Generation || (FromTarget && Faults->OneWay)) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        continue;
      }
      const int Size = Source.receiveBytes(Buffer.data(), Buffer.size());
      if (Size <= 0 || Faults->Cut)
        break;
      delay(*Faults);
      Destination.sendBytes(Buffer.data(), Size);
    }
  } catch (const Poco::Exception &) {
    // One side has closed the connection; the other is shut down below.
  }
  try {
    Source.shutdown();
    Destination.shutdown();
  } catch (const Poco::Exception &) {
    // Both sides have closed the connection already.
  }
}

void forwardStreams(const ForwardingRule &Rule, const LinkFaults *Faults) {
  Poco::Net::ServerSocket Listener;
  Listener.bind(SocketAddress(Rule.ListenAddress, Rule.Port), true);
  Listener.listen();
  while (true) {
    StreamSocket ClientSocket = Listener.acceptConnection();
    if (Faults->Cut)
      continue;
    try {
      StreamSocket TargetSocket;
      TargetSocket.connect(SocketAddress(Rule.TargetAddress, Rule.Port),
                           Poco::Timespan(1, 0));
      ClientSocket.setNoDelay(true);
      TargetSocket.setNoDelay(true);
      std::thread(copy, ClientSocket, TargetSocket, Faults, false).detach();
      std::thread(copy, TargetSocket, ClientSocket, Faults, true).detach();
    } catch (const Poco::Exception &) {
      // The target does not listen. Closing the connection tells the client.
      ClientSocket.close();
    }
  }
}

void forwardDatagrams(const ForwardingRule &Rule, const LinkFaults *Faults) {
  Poco::Net::DatagramSocket Socket;
  Socket.bind(SocketAddress(Rule.ListenAddress, Rule.Port), false);
  const SocketAddress Target(Rule.TargetAddress, Rule.Port);
  std::array<char, 4096> Buffer;
  while (true) {
    try {
      SocketAddress Sender;
      const int Size = Socket.receiveFrom(Buffer.data(), Buffer.size(), Sender);
      if (Faults->Cut)
        continue;
      delay(*Faults);
      Socket.sendTo(Buffer.data(), Size, Target);
    } catch (const Poco::Exception &) {
      // The target does not listen. Datagrams may be lost.
    }
  }
}

std::vector<ForwardingRule> readRules(const std::string &Path) {
  std::vector<ForwardingRule> Result;
  std::ifstream File(Path);
  ForwardingRule Next;
  while (File >> Next.LinkName >> Next.Protocol >> Next.ListenAddress >>
         Next.TargetAddress >> Next.Port)
    Result.push_back(Next);
  return Result;
}

} // namespace
} // namespace persimmonquay::testing

int main(int ArgumentCount, char **Arguments) {
  using namespace persimmonquay::testing;
  blockSignals();
  auto Options = parseOptions(ArgumentCount, Arguments);
  std::map<std::string, std::unique_ptr<LinkFaults>> Links;
  const auto Rules = readRules(Options.at("forwards"));
  for (const ForwardingRule &Rule : Rules)
    if (!Links.contains(Rule.LinkName))
      Links[Rule.LinkName] = std::make_unique<LinkFaults>();
  const auto Server = startServer(
      Options.at("address"),
      static_cast<unsigned short>(std::stoi(Options.at("port"))),
      [&](auto &Request, auto &Response) {
        const auto Query = parseQuery(Request.getURI());
        const auto Found =
            Links.find(Query.contains("link") ? Query.at("link") : "");
        if (Found == Links.end()) {
          sendText(Response, 404, "unknown link");
          return;
        }
        LinkFaults &Faults = *Found->second;
        Faults.Cut = numberOr(Query, "cut", Faults.Cut) != 0;
        Faults.DelayMs =
            static_cast<int>(numberOr(Query, "delay_ms", Faults.DelayMs));
        Faults.OneWay = numberOr(Query, "one_way", Faults.OneWay) != 0;
        if (numberOr(Query, "silence", 0) != 0)
          ++Faults.Generation;
        sendText(Response, 200, "ok");
      });
  for (const ForwardingRule &Rule : Rules) {
    const LinkFaults *Faults = Links.at(Rule.LinkName).get();
    if (Rule.Protocol == "tcp")
      std::thread(forwardStreams, Rule, Faults).detach();
    else
      std::thread(forwardDatagrams, Rule, Faults).detach();
  }
  waitForSignal();
  std::_Exit(0);
}
