// Translation of the addresses of nodes in other data centres.
#ifndef PERSIMMONQUAY_PEER_ADDRESS_TRANSLATOR_H
#define PERSIMMONQUAY_PEER_ADDRESS_TRANSLATOR_H

#include <map>
#include <string>

namespace persimmonquay::proto {
class NodeSettings;
} // namespace persimmonquay::proto

namespace persimmonquay {

/// Maps the addresses of nodes in other data centres to those under which this
/// node reaches them, using the translations of the settings.
///
/// Immutable, therefore thread-safe.
///
/// Example:
///   AddressTranslator Translator(Settings);
///   // Returns "127.12.0.1" if the prefix of "hella" is "127.12".
///   std::string Reachable = Translator.translate("hella", "127.2.0.1");
class AddressTranslator {
public:
  explicit AddressTranslator(const proto::NodeSettings &Settings);

  /// Returns the IP address under which this node reaches `Address` in
  /// `DataCentre`: its first two octets are replaced by the prefix configured
  /// for the data centre. Without a configured prefix, and for an `Address`
  /// with fewer than two dots, returns `Address` unchanged.
  std::string translate(const std::string &DataCentre,
                        const std::string &Address) const;

private:
  std::map<std::string, std::string> PrefixByDataCentre;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_PEER_ADDRESS_TRANSLATOR_H
