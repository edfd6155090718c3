#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace Trefoilhoist {

/// The string id of one kind of object. Ids of different kinds are different types and don't convert.
template <typename Tag>
class Id
{
public:
    Id() = default;
    explicit Id(std::string value) : m_value(std::move(value)) { }

    [[nodiscard]] const std::string &str() const
    {
        return m_value;
    }
    [[nodiscard]] bool empty() const
    {
        return m_value.empty();
    }
    bool operator==(const Id &) const = default;
    bool operator<(const Id &other) const
    {
        return m_value < other.m_value;
    }

    friend std::ostream &operator<<(std::ostream &out, const Id &id)
    {
        return out << id.m_value;
    }

private:
    std::string m_value;
};

using WorkerId = Id<struct WorkerTag>;
using RackId = Id<struct RackTag>;
using ZoneId = Id<struct ZoneTag>;
using MinionId = Id<struct MinionTag>;
using ServiceId = Id<struct ServiceTag>;
using CallerId = Id<struct CallerTag>;
using EntryId = Id<struct EntryTag>;
using JobId = Id<struct JobTag>;
using TaskId = Id<struct TaskTag>;
using TeamId = Id<struct TeamTag>;
using CellId = Id<struct CellTag>;

} // namespace Trefoilhoist

template <typename Tag>
struct std::hash<Trefoilhoist::Id<Tag>> {
    std::size_t operator()(const Trefoilhoist::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.str());
    }
};
