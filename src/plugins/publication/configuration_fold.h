#pragma once

#include "logstream/stream_reader.h"
#include "plugins/publication/configuration_parser.h"

namespace crocuslane {

enum class publication_verdict {
    accepted,
    /// Another publication replaced that version before.
    conflict,
    invalid,
};

/// Decision on one publication in the log.
struct publication_decision {
    publication_entry publication;
    publication_verdict verdict = publication_verdict::conflict;
    /// Version in force after the decision.
    std::uint64_t version = 0;
    std::string message;
};

/// The configuration as decided by log order alone, so that every VM decides alike.
class configuration_fold
{
public:
    /// @p comparesVersions is false in controls of proofs only.
    explicit configuration_fold(const configuration_parser &parser, bool comparesVersions = true);

    /// @p position is the next offset to read after the batch.
    std::vector<publication_decision> apply(const read_batch &batch, log_offset position);
    /// Takes over what another VM folded; false when it is no newer or doesn't connect to what can be read.
    bool adopt(std::uint64_t version, log_offset asOf, const std::string &text);

    /// False while records between the last known state and the first readable record are missing.
    bool isAnchored() const;
    std::uint64_t version() const;
    std::shared_ptr<const configuration> current() const;
    /// Offset through which all records are folded in. Only valid with a version.
    log_offset asOf() const;
    /// Append time of the newest record that holds the text in force; nothing when the log has none.
    std::optional<system_time> lastStored() const;

private:
    void fold(const read_entry &entry);
    void decide(const read_entry &entry, const publication_entry &publication);
    void load(const read_entry &entry, const snapshot_entry &snapshot);
    bool restart(std::uint64_t version, log_offset asOf, const std::string &text);

    const configuration_parser &m_parser;
    bool m_comparesVersions;
    bool m_isAnchored = true;
    std::uint64_t m_version = 0;
    std::shared_ptr<const configuration> m_current;
    /// First offset that is not folded in.
    log_offset m_next = 0;
    /// Offset from which on all records were read.
    log_offset m_readableFrom = 0;
    /// Read, but not decided while records before them are missing.
    std::vector<read_entry> m_undecided;
    std::optional<system_time> m_lastStored;
    std::vector<publication_decision> m_decisions;
};

} // namespace crocuslane
