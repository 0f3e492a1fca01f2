#include "persimmonquay/peer/address_translator.h"

#include "proto/settings.pb.h"

namespace persimmonquay {

AddressTranslator::AddressTranslator(const proto::NodeSettings &Settings) {
  for (const proto::AddressTranslation &Translation : Settings.translations())
    this->PrefixByDataCentre[Translation.data_centre()] = Translation.prefix();
}

std::string AddressTranslator::translate(const std::string &DataCentre,
                                         const std::string &Address) const {
  const auto Entry = this->PrefixByDataCentre.find(DataCentre);
  if (Entry == this->PrefixByDataCentre.end())
    return Address;
  const std::size_t SecondDot = Address.find('.', Address.find('.') + 1);
  if (SecondDot == std::string::npos)
    return Address;
  return Entry->second + Address.substr(SecondDot);
}

} // namespace persimmonquay
