// HTTP plumbing shared by the stand-ins.
#ifndef PERSIMMONQUAY_TESTING_STAND_INS_STAND_IN_SERVER_H
#define PERSIMMONQUAY_TESTING_STAND_INS_STAND_IN_SERVER_H

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace persimmonquay::testing {

using StandInHandler = std::function<void(Poco::Net::HTTPServerRequest &,
                                          Poco::Net::HTTPServerResponse &)>;

/// Starts a server with one thread for each connection.
std::unique_ptr<Poco::Net::HTTPServer> startServer(const std::string &Address,
                                                   unsigned short Port,
                                                   StandInHandler Handler);

/// Returns the query parameters of a request target.
std::map<std::string, std::string> parseQuery(const std::string &Target);

/// Returns a parameter as a number, or `Fallback`.
double numberOr(const std::map<std::string, std::string> &Query,
                const std::string &Name, double Fallback);

/// Sends a whole answer.
void sendText(Poco::Net::HTTPServerResponse &Response, int Status,
              const std::string &Text);

/// Parses "--name value" pairs of a command line.
std::map<std::string, std::string> parseOptions(int Count, char **Words);

/// Waits for SIGTERM or SIGINT. `blockSignals()` must have been called before
/// any thread was started.
void blockSignals();
void waitForSignal();

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_STAND_INS_STAND_IN_SERVER_H
