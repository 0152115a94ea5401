#pragma once

#include "logstream/stream_reader.h"
#include "plugins/publication/configuration_parser.h"

namespace crocuslane {

/// Result of deciding on a publication.
enum class publication_verdict {
    accepted,
    /// The version that it replaces is not the one in force, as when another publication replaced that before.
    conflict,
    /// The text doesn't match its hash or has errors.
    invalid,
};

/// Decision on one publication that was read from the log.
struct publication_decision {
    publication_entry publication;
    publication_verdict verdict = publication_verdict::conflict;
    /// Version in force after the decision.
    std::uint64_t version = 0;
    std::string message;
};

/// Replicated state machine of the configuration. Its decisions depend on the order of the log alone, so that every VM
/// makes the same ones.
class configuration_state_machine
{
public:
    /// @p comparesVersions is false only in the negative controls of the proof programs.
    explicit configuration_state_machine(const configuration_parser &parser, bool comparesVersions = true);

    /// Applies the entries of a batch. @p position is the next offset to read after it.
    std::vector<publication_decision> apply(const read_batch &batch, log_offset position);
    /// Replaces the configuration by one received from another VM. False when that is not newer, contradicts the
    /// records applied here, is invalid, or when records between it and the first readable one are missing.
    bool adopt(std::uint64_t version, log_offset asOf, const std::string &text);

    /// False while records between the last applied one and the first readable one are missing.
    bool isContiguous() const;
    std::uint64_t version() const;
    std::shared_ptr<const configuration> current() const;
    /// Offset up to which all records are applied, inclusive. Only valid if version() is not 0.
    log_offset asOf() const;
    /// Append time of the newest record that contains the text in force; nothing when the log has none.
    std::optional<system_time> lastAppendTime() const;

private:
    void applyEntry(const read_entry &entry);
    void decide(const read_entry &entry, const publication_entry &publication);
    void applySnapshot(const read_entry &entry, const snapshot_entry &snapshot);
    /// Sets the configuration and decides on the publications read since; false when records in between are missing or
    /// the text is invalid.
    bool restoreFrom(std::uint64_t version, log_offset asOf, const std::string &text);

    const configuration_parser &m_parser;
    bool m_comparesVersions;
    bool m_isContiguous = true;
    std::uint64_t m_version = 0;
    std::shared_ptr<const configuration> m_current;
    /// First offset that is not applied.
    log_offset m_nextOffset = 0;
    /// Offset from which on all records could be read.
    log_offset m_readableFrom = 0;
    /// Publications that were read, but can't be decided on while records before them are missing.
    std::vector<read_entry> m_undecided;
    std::optional<system_time> m_lastAppendTime;
    std::vector<publication_decision> m_decisions;
};

} // namespace crocuslane
