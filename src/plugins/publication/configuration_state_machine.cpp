#include "plugins/publication/configuration_state_machine.h"

#include "base/digest.h"

#include <algorithm>

namespace crocuslane {

configuration_state_machine::configuration_state_machine(const configuration_parser &parser, bool comparesVersions)
    : m_parser(parser)
    , m_comparesVersions(comparesVersions)
{
}

std::vector<publication_decision> configuration_state_machine::apply(const read_batch &batch, log_offset position)
{
    if (batch.hasGap) {
        m_readableFrom = batch.readableFrom;
        m_undecided.clear();
        m_isContiguous = m_isContiguous && m_nextOffset >= m_readableFrom;
    }
    for (const read_entry &entry : batch.entries) {
        applyEntry(entry);
    }
    if (m_isContiguous) {
        m_nextOffset = std::max(m_nextOffset, position);
    }
    return std::exchange(m_decisions, {});
}

void configuration_state_machine::applyEntry(const read_entry &entry)
{
    if (const auto *snapshot = std::get_if<snapshot_entry>(&entry.content)) {
        applySnapshot(entry, *snapshot);
        return;
    }
    const auto *publication = std::get_if<publication_entry>(&entry.content);
    if (!publication) {
        return;
    }
    if (!m_isContiguous) {
        m_undecided.push_back(entry);
    } else if (entry.offset >= m_nextOffset) {
        decide(entry, *publication);
    } else if (publication->replacesVersion + 1 == m_version && m_current && publication->text == m_current->text) {
        m_lastAppendTime = entry.appendTime;
    }
}

void configuration_state_machine::decide(const read_entry &entry, const publication_entry &publication)
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
    m_lastAppendTime = entry.appendTime;
    m_decisions.push_back({publication, publication_verdict::accepted, m_version, {}});
}

void configuration_state_machine::applySnapshot(const read_entry &entry, const snapshot_entry &snapshot)
{
    if (sha256Hex(snapshot.text) != snapshot.textHash) {
        return;
    }
    if (!m_isContiguous && !restoreFrom(snapshot.version, snapshot.asOf, snapshot.text)) {
        return;
    }
    if (snapshot.version == m_version) {
        m_lastAppendTime = std::max(m_lastAppendTime.value_or(entry.appendTime), entry.appendTime);
    }
}

bool configuration_state_machine::restoreFrom(std::uint64_t version, log_offset asOf, const std::string &text)
{
    // If records are missing between this version and the first readable one, a publication may be among them.
    if (version < m_version || asOf + 1 < m_readableFrom) {
        return false;
    }
    auto parsed = m_parser.parse(text);
    if (std::holds_alternative<std::string>(parsed)) {
        return false;
    }
    m_version = version;
    m_current = std::get<std::shared_ptr<const configuration>>(parsed);
    m_nextOffset = std::max(m_nextOffset, asOf + 1);
    m_isContiguous = true;
    m_lastAppendTime.reset();
    for (const read_entry &entry : std::exchange(m_undecided, {})) {
        applyEntry(entry);
    }
    return true;
}

bool configuration_state_machine::adopt(std::uint64_t version, log_offset asOf, const std::string &text)
{
    if (version == 0 || version < m_version || (m_isContiguous && version == m_version)) {
        return false;
    }
    // A higher version that results from fewer records contradicts the decisions of this VM.
    if (m_isContiguous && asOf + 1 < m_nextOffset) {
        return false;
    }
    return restoreFrom(version, asOf, text);
}

bool configuration_state_machine::isContiguous() const
{
    return m_isContiguous;
}

std::uint64_t configuration_state_machine::version() const
{
    return m_version;
}

std::shared_ptr<const configuration> configuration_state_machine::current() const
{
    return m_current;
}

log_offset configuration_state_machine::asOf() const
{
    return m_nextOffset == 0 ? 0 : m_nextOffset - 1;
}

std::optional<system_time> configuration_state_machine::lastAppendTime() const
{
    return m_lastAppendTime;
}

} // namespace crocuslane
