#include "plugins/membership/message_size.h"

namespace crocuslane {

namespace {

constexpr std::size_t emptyStateBytes = 92;
constexpr std::size_t groupDemandBytes = 12;
constexpr std::size_t runnerUseBytes = 4;
constexpr std::size_t nameLengthBytes = 2;

} // namespace

std::size_t nameBytes(const std::string &name)
{
    return name.size() + nameLengthBytes;
}

std::size_t stateBytes(const member_state &state)
{
    return emptyStateBytes + groupDemandBytes * state.demand.size() + runnerUseBytes * state.runners.size();
}

} // namespace crocuslane
