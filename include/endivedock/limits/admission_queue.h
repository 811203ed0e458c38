#pragma once

#include "endivedock/core.h"

#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace endivedock {

/**
 * A bounded queue, ordered by priority and then by arrival, that knows deadlines. When it is full,
 * the newest entry of the lowest priority gives way to a more important one.
 */
template <typename T>
class AdmissionQueue
{
public:
    using Ticket = std::uint64_t;

    struct Entry
    {
        T item;
        int priority;
        TimePoint deadline;
    };

    struct Admission
    {
        std::optional<Ticket> ticket;
        /** What gave way; the newcomer itself is refused where ticket is absent. */
        std::optional<T> evicted;
    };

    /** @param limit  entries kept at most */
    Admission add(T item, int priority, TimePoint deadline, std::size_t limit)
    {
        Admission result;
        if (m_entries.size() >= limit) {
            if (m_entries.empty() || m_entries.rbegin()->second.priority >= priority)
                return result;
            result.evicted = removeAt(std::prev(m_entries.end())).item;
        }
        const Ticket ticket = m_nextTicket++;
        m_entries.emplace(Order{-priority, ticket}, Entry{std::move(item), priority, deadline});
        m_priorities.emplace(ticket, priority);
        m_deadlines.emplace(deadline, ticket);
        result.ticket = ticket;
        return result;
    }

    /** @return the item, or null; valid until the next change */
    T *find(Ticket ticket)
    {
        const auto priority = m_priorities.find(ticket);
        if (priority == m_priorities.end())
            return nullptr;
        return &m_entries.find(Order{-priority->second, ticket})->second.item;
    }

    std::optional<T> remove(Ticket ticket)
    {
        const auto priority = m_priorities.find(ticket);
        if (priority == m_priorities.end())
            return std::nullopt;
        return removeAt(m_entries.find(Order{-priority->second, ticket})).item;
    }

    /** @return an entry whose deadline is not after @p now, removed; nothing if there is none */
    std::optional<T> takeExpired(TimePoint now)
    {
        if (m_deadlines.empty() || m_deadlines.begin()->first > now)
            return std::nullopt;
        return remove(m_deadlines.begin()->second);
    }

    /**
     * Offers entries in order until @p accept has declined @p mostDeclined of them.
     *
     * @param accept  takes an item; returns whether it was served, which removes it
     */
    template <typename Accept>
    void serve(int mostDeclined, Accept accept)
    {
        for (auto entry = m_entries.begin(); entry != m_entries.end() && mostDeclined > 0;) {
            if (accept(entry->second.item)) {
                const auto served = entry++;
                removeAt(served);
            } else {
                ++entry;
                --mostDeclined;
            }
        }
    }

    /** @return the entries that a newcomer of this priority would wait behind */
    std::size_t countAhead(int priority) const
    {
        const auto behind = m_entries.lower_bound(Order{-priority + 1, 0});
        return static_cast<std::size_t>(std::distance(m_entries.begin(), behind));
    }

    /** @return the entry that is served next, or null; valid until the next change */
    const Entry *front() const { return m_entries.empty() ? nullptr : &m_entries.begin()->second; }

    std::size_t size() const { return m_entries.size(); }
    bool empty() const { return m_entries.empty(); }

private:
    using Order = std::pair<int, Ticket>;
    using Entries = std::map<Order, Entry>;

    Entry removeAt(typename Entries::iterator position)
    {
        const Ticket ticket = position->first.second;
        Entry entry = std::move(position->second);
        m_priorities.erase(ticket);
        m_deadlines.erase({entry.deadline, ticket});
        m_entries.erase(position);
        return entry;
    }

    Entries m_entries;
    std::map<Ticket, int> m_priorities;
    std::set<std::pair<TimePoint, Ticket>> m_deadlines;
    Ticket m_nextTicket = 1;
};

} // namespace endivedock
