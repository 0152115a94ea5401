#pragma once

#include <string>
#include <string_view>

namespace crocuslane {

/// Edits of the operators' text that keep everything else: comments, order and spacing. Sections are named as in the
/// text, "version small@1". The result is not checked.

/// Replaces the value of a key, or adds the key, or adds the section at the end.
std::string withKey(std::string_view text, std::string_view section, std::string_view key, std::string_view value);
/// Removes a key; the text is unchanged when it has none.
std::string withoutKey(std::string_view text, std::string_view section, std::string_view key);
/// Adds a name to a list; the text is unchanged when the list has it.
std::string
withListEntry(std::string_view text, std::string_view section, std::string_view key, std::string_view entry);

struct canary_stage {
    std::string_view version;
    std::string_view replaces;
    /// 0 to 100.
    double percent = 0.0;
};

/// Makes a version a canary with a share of new sessions. A version that the text doesn't have is added.
std::string withCanary(std::string_view text, const canary_stage &stage);
/// Makes a version active, and the version that it replaces draining.
std::string withPromotion(std::string_view text, std::string_view version, std::string_view replaced);
/// Withdraws a version: it gets no new request.
std::string withWithdrawal(std::string_view text, std::string_view version);
/// Allows @p version to every organisation that may use @p like.
std::string withSameRights(std::string_view text, std::string_view version, std::string_view like);

} // namespace crocuslane
