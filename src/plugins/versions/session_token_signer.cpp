#include "plugins/versions/session_token_signer.h"

#include "base/digest.h"

namespace crocuslane {

session_token_signer::session_token_signer(std::string key)
    : m_key(std::move(key))
{
}

std::string session_token_signer::sign(const organisation_id &organisation,
                                       const service_id &service,
                                       const version_id &version) const
{
    const std::string content = "session-1\n" + organisation.value() + '\n' + service.value() + '\n' + version.value();
    return version.value() + '.' + hmacSha256Hex(m_key, content);
}

std::optional<version_id> session_token_signer::verify(const std::string &token,
                                                       const organisation_id &organisation,
                                                       const service_id &service) const
{
    const std::size_t dot = token.rfind('.');
    if (dot == std::string::npos) {
        return std::nullopt;
    }
    version_id version(token.substr(0, dot));
    if (!equalConstantTime(token, sign(organisation, service, version))) {
        return std::nullopt;
    }
    return version;
}

} // namespace crocuslane
