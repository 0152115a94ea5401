#pragma once

#include "configuration/configuration.h"
#include "configuration/key_table.h"

#include <span>

namespace crocuslane {

/// A key of the configuration text together with the member that stores its value.
template<typename settings>
struct key_binding {
    key_rule rule;
    /// Called with a value that parseValue() returned for the rule.
    void (*store)(settings &, const key_value &);
    /// Value in the notation of the text.
    std::string (*format)(const settings &);
};

std::span<const key_binding<service_settings>> serviceKeys();
std::span<const key_binding<operation_settings>> operationKeys();
std::span<const key_binding<kind_settings>> kindKeys();
std::span<const key_binding<model_settings>> modelKeys();
std::span<const key_binding<version_settings>> versionKeys();
std::span<const key_binding<organisation_settings>> organisationKeys();
std::span<const key_binding<caller_group_settings>> callerGroupKeys();

std::string_view toName(service_type value);
std::string_view toName(request_class value);
std::string_view toName(version_state value);
std::optional<version_state> versionStateFromName(std::string_view name);

/// Reference of all sections and keys of the configuration text, in Markdown.
std::string describeConfigurationKeys();

} // namespace crocuslane
