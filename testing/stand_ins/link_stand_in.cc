// Stand-in for the links between data centres and to the platform. Forwards
// TCP and UDP as the lines of a file say:
//   LINK tcp|udp LISTEN_ADDRESS TARGET_ADDRESS PORT
// Faults are switched by
//   POST /control?link=LINK&cut=0|1&delay_ms=N&one_way=0|1&silence=1
// cut: connections are closed and refused, datagrams dropped. silence: the
// connections open now pass nothing any more, while new ones work. one_way:
// nothing comes back from the target.
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

const Poco::Timespan Poll(50000);

struct Link {
  std::atomic<bool> Cut = false;
  std::atomic<int> DelayMs = 0;
  std::atomic<bool> OneWay = false;
  /// Connections opened in an earlier generation are silent.
  std::atomic<int> Generation = 0;
};

struct Forward {
  std::string LinkName;
  std::string Protocol;
  std::string Listen;
  std::string Target;
  unsigned short Port = 0;
};

void delay(const Link &Through) {
  if (Through.DelayMs > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(Through.DelayMs));
}

/// Copies one direction until an end closes or the link is cut.
void copy(StreamSocket From, StreamSocket To, const Link *Through,
          bool IsBack) {
  const int Generation = Through->Generation;
  std::array<char, 16384> Buffer;
  try {
    while (!Through->Cut) {
      if (!From.poll(Poll, Poco::Net::Socket::SELECT_READ))
        continue;
      if (Through->Generation != Generation || (IsBack && Through->OneWay)) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        continue;
      }
      const int Size = From.receiveBytes(Buffer.data(), Buffer.size());
      if (Size <= 0 || Through->Cut)
        break;
      delay(*Through);
      To.sendBytes(Buffer.data(), Size);
    }
  } catch (const Poco::Exception &) {
    // One of the ends has gone; the other is told below.
  }
  try {
    From.shutdown();
    To.shutdown();
  } catch (const Poco::Exception &) {
    // It had gone too.
  }
}

void forwardStreams(const Forward &Wanted, const Link *Through) {
  Poco::Net::ServerSocket Listener;
  Listener.bind(SocketAddress(Wanted.Listen, Wanted.Port), true);
  Listener.listen();
  while (true) {
    StreamSocket Near = Listener.acceptConnection();
    if (Through->Cut)
      continue;
    try {
      StreamSocket Far;
      Far.connect(SocketAddress(Wanted.Target, Wanted.Port),
                  Poco::Timespan(1, 0));
      Near.setNoDelay(true);
      Far.setNoDelay(true);
      std::thread(copy, Near, Far, Through, false).detach();
      std::thread(copy, Far, Near, Through, true).detach();
    } catch (const Poco::Exception &) {
      // The target does not listen; closing tells the caller so.
      Near.close();
    }
  }
}

void forwardDatagrams(const Forward &Wanted, const Link *Through) {
  Poco::Net::DatagramSocket Socket;
  Socket.bind(SocketAddress(Wanted.Listen, Wanted.Port), false);
  const SocketAddress Target(Wanted.Target, Wanted.Port);
  std::array<char, 4096> Buffer;
  while (true) {
    try {
      SocketAddress From;
      const int Size = Socket.receiveFrom(Buffer.data(), Buffer.size(), From);
      if (Through->Cut)
        continue;
      delay(*Through);
      Socket.sendTo(Buffer.data(), Size, Target);
    } catch (const Poco::Exception &) {
      // The target does not listen now; datagrams may be lost.
    }
  }
}

std::vector<Forward> readForwards(const std::string &Path) {
  std::vector<Forward> Result;
  std::ifstream File(Path);
  Forward Next;
  while (File >> Next.LinkName >> Next.Protocol >> Next.Listen >> Next.Target >>
         Next.Port)
    Result.push_back(Next);
  return Result;
}

} // namespace
} // namespace persimmonquay::testing

int main(int Count, char **Words) {
  using namespace persimmonquay::testing;
  blockSignals();
  auto Options = parseOptions(Count, Words);
  std::map<std::string, std::unique_ptr<Link>> Links;
  const auto Forwards = readForwards(Options.at("forwards"));
  for (const Forward &Wanted : Forwards)
    if (!Links.contains(Wanted.LinkName))
      Links[Wanted.LinkName] = std::make_unique<Link>();
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
        Link &Named = *Found->second;
        Named.Cut = numberOr(Query, "cut", Named.Cut) != 0;
        Named.DelayMs =
            static_cast<int>(numberOr(Query, "delay_ms", Named.DelayMs));
        Named.OneWay = numberOr(Query, "one_way", Named.OneWay) != 0;
        if (numberOr(Query, "silence", 0) != 0)
          ++Named.Generation;
        sendText(Response, 200, "ok");
      });
  for (const Forward &Wanted : Forwards) {
    const Link *Through = Links.at(Wanted.LinkName).get();
    if (Wanted.Protocol == "tcp")
      std::thread(forwardStreams, Wanted, Through).detach();
    else
      std::thread(forwardDatagrams, Wanted, Through).detach();
  }
  waitForSignal();
  std::_Exit(0);
}
