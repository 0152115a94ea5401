#include "plugins/publication/configuration_fold.h"

#include "base/digest.h"

#include <algorithm>

namespace crocuslane {

configuration_fold::configuration_fold(const configuration_parser &parser, bool comparesVersions)
    : m_parser(parser)
    , m_comparesVersions(comparesVersions)
{
}

std::vector<publication_decision> configuration_fold::apply(const read_batch &batch, log_offset position)
{
    if (batch.hasGap) {
        m_readableFrom = batch.readableFrom;
        m_undecided.clear();
        m_isAnchored = m_isAnchored && m_next >= m_readableFrom;
    }
    for (const read_entry &entry : batch.entries) {
        fold(entry);
    }
    if (m_isAnchored) {
        m_next = std::max(m_next, position);
    }
    return std::exchange(m_decisions, {});
}

void configuration_fold::fold(const read_entry &entry)
{
    if (const auto *snapshot = std::get_if<snapshot_entry>(&entry.content)) {
        load(entry, *snapshot);
        return;
    }
    const auto *publication = std::get_if<publication_entry>(&entry.content);
    if (!publication) {
        return;
    }
    if (!m_isAnchored) {
        m_undecided.push_back(entry);
    } else if (entry.offset >= m_next) {
        decide(entry, *publication);
    } else if (publication->replacesVersion + 1 == m_version && m_current && publication->text == m_current->text) {
        m_lastStored = entry.appendTime;
    }
}

void configuration_fold::decide(const read_entry &entry, const publication_entry &publication)
{
    const auto refuse = [&](publication_verdict verdict, std::string message) {
        m_decisions.push_back({publication, verdict, m_version, std::move(message)});
    };
    if (m_comparesVersions && publication.replacesVersion != m_version) {
        refuse(publication_verdict::conflict,
               "replaces version " + std::to_string(publication.replacesVersion) + ", but version "
                   + std::to_string(m_version) + " is in force");
        return;
    }
    if (sha256Hex(publication.text) != publication.textHash) {
        refuse(publication_verdict::invalid, "the text does not match its hash");
        return;
    }
    auto parsed = m_parser.parse(publication.text);
    if (auto *message = std::get_if<std::string>(&parsed)) {
        refuse(publication_verdict::invalid, std::move(*message));
        return;
    }
    ++m_version;
    m_current = std::get<std::shared_ptr<const configuration>>(parsed);
    m_lastStored = entry.appendTime;
    m_decisions.push_back({publication, publication_verdict::accepted, m_version, {}});
}

void configuration_fold::load(const read_entry &entry, const snapshot_entry &snapshot)
{
    if (sha256Hex(snapshot.text) != snapshot.textHash) {
        return;
    }
    if (!m_isAnchored && !restart(snapshot.version, snapshot.asOf, snapshot.text)) {
        return;
    }
    if (snapshot.version == m_version) {
        m_lastStored = std::max(m_lastStored.value_or(entry.appendTime), entry.appendTime);
    }
}

bool configuration_fold::restart(std::uint64_t version, log_offset asOf, const std::string &text)
{
    // A state that doesn't reach the readable records may lack a publication in between.
    if (version < m_version || asOf + 1 < m_readableFrom) {
        return false;
    }
    auto parsed = m_parser.parse(text);
    if (std::holds_alternative<std::string>(parsed)) {
        return false;
    }
    m_version = version;
    m_current = std::get<std::shared_ptr<const configuration>>(parsed);
    m_next = std::max(m_next, asOf + 1);
    m_isAnchored = true;
    m_lastStored.reset();
    for (const read_entry &entry : std::exchange(m_undecided, {})) {
        fold(entry);
    }
    return true;
}

bool configuration_fold::adopt(std::uint64_t version, log_offset asOf, const std::string &text)
{
    if (version == 0 || version < m_version || (m_isAnchored && version == m_version)) {
        return false;
    }
    // A higher version from fewer records contradicts the own decisions.
    if (m_isAnchored && asOf + 1 < m_next) {
        return false;
    }
    return restart(version, asOf, text);
}

bool configuration_fold::isAnchored() const
{
    return m_isAnchored;
}

std::uint64_t configuration_fold::version() const
{
    return m_version;
}

std::shared_ptr<const configuration> configuration_fold::current() const
{
    return m_current;
}

log_offset configuration_fold::asOf() const
{
    return m_next == 0 ? 0 : m_next - 1;
}

std::optional<system_time> configuration_fold::lastStored() const
{
    return m_lastStored;
}

} // namespace crocuslane
