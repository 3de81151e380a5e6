#pragma once

#include "log_entry.h"

#include <boost/json/object.hpp>

#include <cstdio>
#include <memory>
#include <span>
#include <string>

namespace waxwing::standin
{

class Database;

/// @brief True history of one database: a file of JSON lines for the checker, from which a restarted process recovers its data.
///
/// Times are microseconds of the monotonic clock, which all processes of one machine share. Each event reaches the kernel before
/// the response is sent, so that it survives the death of the process.
class History
{
public:
    /// @brief Opens the file for appending.
    /// @param path path of the file; nothing is written if it is empty
    /// @param database name of the database, a field of every event
    /// @param group name of its group, a field of every event
    History(std::string path, std::string database, std::string group);

    /// @brief Replays the events of an earlier process of this database.
    /// @return false if there were none
    bool recover(Database &database) const;

    /// @brief Writes one event.
    /// @param event kind of event
    /// @param fields further fields
    void record(std::string_view event, boost::json::object fields);

    /// @brief Writes entries that were applied together, so that all or none survive.
    /// @param event `apply` on the primary, `replicate` on a replica
    void recordEntries(std::string_view event, std::span<const LogEntry> entries);

    /// @brief Writes the terms and the fence of a database after a change.
    void recordTerms(std::string_view event, const Database &database);

private:
    struct Close
    {
        void operator()(std::FILE *file) const
        {
            std::fclose(file);
        }
    };

    std::string line(std::string_view event, boost::json::object fields) const;
    void write(const std::string &lines);

    std::string m_path;
    std::string m_database;
    std::string m_group;
    std::unique_ptr<std::FILE, Close> m_file;
};

} // namespace waxwing::standin
