// Where nodes of other data centres are reached from here.
#ifndef PERSIMMONQUAY_PEER_ADDRESS_TRANSLATOR_H
#define PERSIMMONQUAY_PEER_ADDRESS_TRANSLATOR_H

#include <map>
#include <string>

namespace persimmonquay::proto {
class NodeSettings;
} // namespace persimmonquay::proto

namespace persimmonquay {

/// Translates the addresses of other data centres as the settings say.
///
/// Immutable, therefore thread-safe.
///
/// Example:
///   AddressTranslator Book(Settings);
///   std::string Reached = Book.translate("hella", "127.2.0.1"); //
///   "127.12.0.1"
class AddressTranslator {
public:
  explicit AddressTranslator(const proto::NodeSettings &Settings);

  /// Returns the IP number by which `Address` in `DataCentre` is reached.
  std::string translate(const std::string &DataCentre,
                        const std::string &Address) const;

private:
  std::map<std::string, std::string> PrefixOf;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_PEER_ADDRESS_TRANSLATOR_H
