#include "testing/platform/paced_link.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <array>
#include <chrono>
#include <utility>

namespace persimmonquay::testing {
namespace {

/// What a connection may have on its way.
constexpr int WindowBytes = 32768;

constexpr std::size_t ChunkBytes = 2048;

const Poco::Timespan PollInterval(20000);

} // namespace

PacedLink::PacedLink(const std::string &Address, std::uint16_t PortNumber,
                     double BytesPerSecond)
    : Port(PortNumber), Rate(BytesPerSecond) {
  this->Listener.bind(Poco::Net::SocketAddress(Address, this->Port), true);
  this->Listener.listen();
  this->Acceptor = std::thread([this] { this->accept(); });
}

PacedLink::~PacedLink() {
  this->Stopping = true;
  this->Acceptor.join();
  for (std::thread &Thread : this->Threads)
    Thread.join();
}

void PacedLink::accept() {
  while (!this->Stopping) {
    if (!this->Listener.poll(PollInterval, Poco::Net::Socket::SELECT_READ))
      continue;
    Poco::Net::StreamSocket Near = this->Listener.acceptConnection();
    try {
      Poco::Net::StreamSocket Far(Poco::Net::SocketAddress::IPv4);
      Far.setReceiveBufferSize(WindowBytes);
      Far.connect(Poco::Net::SocketAddress("127.0.0.1", this->Port));
      Near.setNoDelay(true);
      Far.setNoDelay(true);
      this->Threads.emplace_back(
          [this, Near, Far] { this->copy(Near, Far, false); });
      this->Threads.emplace_back(
          [this, Near, Far] { this->copy(Far, Near, true); });
    } catch (const Poco::Exception &) {
      // The node doesn't listen. Closing the connection tells the peer.
      Near.close();
    }
  }
}

void PacedLink::copy(Poco::Net::StreamSocket Source,
                     Poco::Net::StreamSocket Destination, bool IsPaced) {
  std::array<char, ChunkBytes> Buffer;
  try {
    while (!this->Stopping) {
      if (!Source.poll(PollInterval, Poco::Net::Socket::SELECT_READ))
        continue;
      const int Size = Source.receiveBytes(Buffer.data(), Buffer.size());
      if (Size <= 0)
        break;
      if (IsPaced) {
        const std::lock_guard Lock(this->Link);
        std::this_thread::sleep_for(
            std::chrono::duration<double>(Size / this->Rate));
      }
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

} // namespace persimmonquay::testing
