// HTTP server and command-line helpers shared by the stand-ins.
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

/// Handles one request. Poco exceptions that it throws close the connection.
using StandInHandler = std::function<void(Poco::Net::HTTPServerRequest &,
                                          Poco::Net::HTTPServerResponse &)>;

/// Starts an HTTP server with one thread for each connection.
std::unique_ptr<Poco::Net::HTTPServer> startServer(const std::string &Address,
                                                   unsigned short Port,
                                                   StandInHandler Handler);

/// Returns the query parameters of a request target.
std::map<std::string, std::string> parseQuery(const std::string &Target);

/// Returns the parameter `Name` as a number, or `DefaultValue` if it is
/// missing.
double numberOr(const std::map<std::string, std::string> &Query,
                const std::string &Name, double DefaultValue);

/// Sends a complete response with `Text` as its body.
void sendText(Poco::Net::HTTPServerResponse &Response, int Status,
              const std::string &Text);

/// Parses the "--name value" pairs of a command line. The result's keys are the
/// names without "--".
std::map<std::string, std::string> parseOptions(int ArgumentCount,
                                                char **Arguments);

/// Blocks SIGTERM and SIGINT and ignores SIGPIPE. Must be called before any
/// thread is started, so that all threads inherit the signal mask.
void blockSignals();

/// Waits for SIGTERM or SIGINT, which `blockSignals()` must have blocked.
void waitForSignal();

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_STAND_INS_STAND_IN_SERVER_H
