#include "net/request_head.h"

#include "net/http_server.h"

#include <algorithm>
#include <string_view>

namespace crocuslane {

namespace {

// Two strings, and what the allocator adds to those that aren't short.
constexpr std::size_t fieldOverheadBytes = 96;
// The same, and the links of a node.
constexpr std::size_t argumentOverheadBytes = 160;

struct memory_sum {
    std::size_t overheadBytes = 0;
    std::size_t bytes = 0;
};

MHD_Result addMemory(void *sum, MHD_ValueKind /*kind*/, const char *name, const char *value)
{
    auto &total = *static_cast<memory_sum *>(sum);
    const std::string_view text = value != nullptr ? value : "";
    total.bytes += total.overheadBytes + std::string_view(name).size() + text.size();
    return MHD_YES;
}

MHD_Result copyField(void *target, MHD_ValueKind /*kind*/, const char *name, const char *value)
{
    static_cast<header_list *>(target)->push_back({name, value != nullptr ? value : ""});
    return MHD_YES;
}

MHD_Result copyArgument(void *target, MHD_ValueKind /*kind*/, const char *name, const char *value)
{
    (*static_cast<std::map<std::string, std::string> *>(target))[name] = value != nullptr ? value : "";
    return MHD_YES;
}

} // namespace

std::size_t headMemory(MHD_Connection *connection)
{
    memory_sum fields{fieldOverheadBytes};
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &addMemory, &fields);
    memory_sum arguments{argumentOverheadBytes};
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &addMemory, &arguments);
    return fields.bytes + arguments.bytes;
}

void copyHead(MHD_Connection *connection, http_request &request)
{
    const int count = MHD_get_connection_values(connection, MHD_HEADER_KIND, nullptr, nullptr);
    request.fields.reserve(static_cast<std::size_t>(std::max(count, 0)));
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &copyField, &request.fields);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &copyArgument, &request.query);
}

} // namespace crocuslane
