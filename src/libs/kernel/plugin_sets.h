#pragma once

#include <array>
#include <string_view>

/// Sets of plug-ins, one per interface to callers. Both sets offer some of the same services, so a program loads only
/// one of them.
namespace crocuslane {

/// Plug-ins of the router's own interface, with model requests and calls to plain services.
constexpr std::array<std::string_view, 11> ownInterfacePlugins{"admission",
                                                               "appends",
                                                               "billing",
                                                               "claims",
                                                               "duties",
                                                               "membership",
                                                               "publication",
                                                               "requests",
                                                               "routing",
                                                               "timeline",
                                                               "versions"};

/// Plug-ins that forward requests unchanged.
constexpr std::array<std::string_view, 3> forwardingPlugins{"membership", "forwarding", "rollouts"};

} // namespace crocuslane
