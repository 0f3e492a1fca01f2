#include "persimmonquay/config/serving_configuration.h"

namespace persimmonquay {

std::shared_ptr<const ServingConfiguration>
ServingConfiguration::compile(const proto::ConfigurationState &State) {
  std::shared_ptr<ServingConfiguration> Result(new ServingConfiguration());
  Result->Version = State.version();
  std::map<std::string, std::shared_ptr<const proto::Move>> MoveOfService;
  for (const auto &[Name, Move] : State.moves()) {
    if (Move.state() != proto::ACTIVE)
      continue;
    auto ActiveMove = std::make_shared<const proto::Move>(Move.move());
    MoveOfService[Move.move().service()] = ActiveMove;
    Result->Moves.push_back(std::move(ActiveMove));
  }
  for (const auto &[Name, Service] : State.services())
    Result->Services[Name] = Service.service();
  for (const auto &[Name, Route] : State.routes()) {
    const std::string &Service = Route.route().service();
    const auto Found = State.services().find(Service);
    if (Found == State.services().end())
      return nullptr;
    const auto Move = MoveOfService.find(Service);
    Result->RoutesByPrefix[Route.route().path_prefix()] =
        ResolvedRoute{Route.route(), Found->second.service(),
                      Move == MoveOfService.end() ? nullptr : Move->second};
  }
  return Result;
}

const proto::Service *
ServingConfiguration::findService(const std::string &Name) const {
  const auto Found = this->Services.find(Name);
  return Found == this->Services.end() ? nullptr : &Found->second;
}

const ServingConfiguration::ResolvedRoute *
ServingConfiguration::findRoute(std::string_view Path) const {
  std::string_view Prefix = Path;
  while (!Prefix.empty()) {
    const auto Found = this->RoutesByPrefix.find(Prefix);
    if (Found != this->RoutesByPrefix.end())
      return &Found->second;
    const std::size_t LastSlash = Prefix.rfind('/');
    if (LastSlash == std::string_view::npos)
      return nullptr;
    // Tries "/a/" and then "/a", because a path_prefix may be written with or
    // without a trailing slash.
    Prefix = LastSlash + 1 == Prefix.size() ? Prefix.substr(0, LastSlash)
                                            : Prefix.substr(0, LastSlash + 1);
  }
  return nullptr;
}

} // namespace persimmonquay
