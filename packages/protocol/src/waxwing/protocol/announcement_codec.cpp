#include <waxwing/protocol/announcement_codec.h>
#include <waxwing/protocol/json_reader.h>
#include <waxwing/wire/waxwing.pb.h>

#include <boost/json/serialize.hpp>

#include <array>

namespace waxwing
{

namespace
{

using namespace std::string_view_literals;

constexpr std::size_t maxNameLength = 255;
constexpr std::array roles = {"primary"sv, "replica"sv};
constexpr NumberRange slotRange {.low = 1, .high = 10'000};
constexpr NumberRange connectionRange {.low = 1, .high = 100'000};

} // namespace

std::string decodeAnnouncement(std::string_view body, wire::Announcement &announcement)
{
    JsonReader reader(body);
    if (!reader.error().empty()) {
        return reader.error();
    }
    announcement.set_address(reader.text("address", maxNameLength, Presence::Required));
    announcement.set_database(reader.text("database", maxNameLength, Presence::Required));
    announcement.set_group(reader.text("group", maxNameLength, Presence::Required));
    announcement.set_primary(reader.choice("role", roles, Presence::Required) == "primary");
    announcement.set_term(reader.number("term", {}, Presence::Required));
    announcement.set_term_start(reader.number("term_start", {}));
    announcement.set_position(reader.number("position", {}, Presence::Required));
    announcement.set_slots(static_cast<std::uint32_t>(reader.number("slots", slotRange, Presence::Required)));
    announcement.set_connections(static_cast<std::uint32_t>(reader.number("connections", connectionRange, Presence::Required)));
    announcement.set_failure_domain(reader.text("failure_domain", maxNameLength));
    announcement.set_leaving(reader.boolean("leaving", false));
    reader.refuseUnknownFields();
    return reader.error();
}

std::string encodeAnnouncement(const wire::Announcement &announcement)
{
    return boost::json::serialize(boost::json::object {{"address", announcement.address()},
                                                       {"database", announcement.database()},
                                                       {"group", announcement.group()},
                                                       {"role", announcement.primary() ? "primary" : "replica"},
                                                       {"term", announcement.term()},
                                                       {"term_start", announcement.term_start()},
                                                       {"position", announcement.position()},
                                                       {"slots", announcement.slots()},
                                                       {"connections", announcement.connections()},
                                                       {"failure_domain", announcement.failure_domain()},
                                                       {"leaving", announcement.leaving()}});
}

} // namespace waxwing
