#pragma once

#include <exception>
#include <utility>

namespace crocuslane {

/// Calls @p function, which handles one message from outside. An exception ends the handling of this message only: its
/// text is passed to @p report. Returns whether there was none.
template<typename callable, typename reporter>
bool callGuarded(callable &&function, reporter &&report)
{
    try {
        std::forward<callable>(function)();
        return true;
    } catch (const std::exception &error) {
        std::forward<reporter>(report)(error.what());
    } catch (...) {
        std::forward<reporter>(report)("unknown exception");
    }
    return false;
}

} // namespace crocuslane
