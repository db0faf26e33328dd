#include "daemon/BackendAnnouncement.h"

#include "core/JSON.h"

namespace shallot {

namespace {

constexpr double maximumSlots = 100'000;

} // namespace

Result<BackendAnnouncement> parseAnnouncement(std::string_view json)
{
    const auto root = parseJSONObject(json);
    if (!root)
        return fail(ErrorKind::BadRequest, "the announcement is not a JSON object");
    JsonObject* object = json_node_get_object(root.get());
    BackendAnnouncement announcement;
    announcement.service = jsonString(object, "service");
    if (announcement.service.empty())
        return fail(ErrorKind::BadRequest, "the announcement has no \"service\"");
    auto address = parseSocketAddress(jsonString(object, "address"));
    if (!address)
        return fail(ErrorKind::BadRequest, "\"address\": " + address.error().detail);
    announcement.address = *address;
    const double slots = jsonNumber(object, "slots");
    if (!(slots >= 1) || slots > maximumSlots)
        return fail(ErrorKind::BadRequest, "the announcement's \"slots\" must be a number from 1 to 100000");
    announcement.slots = static_cast<uint32_t>(slots);
    announcement.draining = jsonString(object, "state", "serving") == "draining";
    announcement.bootID = jsonString(object, "boot");
    return announcement;
}

} // namespace shallot
