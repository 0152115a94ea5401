#pragma once

#include "base/text_id.h"

#include <optional>
#include <string>

namespace crocuslane {

/// Signs and verifies tokens that bind a session of an organisation to a version. Any entry VM with the same key can
/// verify them.
class session_token_signer
{
public:
    explicit session_token_signer(std::string key);

    std::string sign(const organisation_id &organisation, const service_id &service, const version_id &version) const;
    /// Version in a token of this organisation and service; nothing when the signature doesn't match.
    std::optional<version_id>
    verify(const std::string &token, const organisation_id &organisation, const service_id &service) const;

private:
    std::string m_key;
};

} // namespace crocuslane
