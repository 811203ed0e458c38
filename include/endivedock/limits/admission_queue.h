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
 * A bounded queue, ordered by descending priority and then by arrival, whose entries have
 * deadlines. If the queue is full, a new entry evicts the newest entry of the lowest priority,
 * provided that the new entry has a higher priority. Not thread-safe.
 */
template <typename T>
class AdmissionQueue
{
public:
    /** Identifies an entry of the queue. */
    using Ticket = std::uint64_t;

    struct Entry
    {
        T item;
        int priority;
        TimePoint deadline;
    };

    struct Admission
    {
        /** Absent if the new item was refused. */
        std::optional<Ticket> ticket;
        /** The item that was evicted for the new one, if any. */
        std::optional<T> evicted;
    };

    /**
     * Adds an item, or refuses it if the queue is full and no entry has a lower priority.
     *
     * @param limit  maximum number of entries
     */
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

    /** @return the item, or null if the ticket is unknown; valid until the queue is next changed */
    T *find(Ticket ticket)
    {
        const auto priority = m_priorities.find(ticket);
        if (priority == m_priorities.end())
            return nullptr;
        return &m_entries.find(Order{-priority->second, ticket})->second.item;
    }

    /** @return the removed item; nothing if the ticket is unknown */
    std::optional<T> remove(Ticket ticket)
    {
        const auto priority = m_priorities.find(ticket);
        if (priority == m_priorities.end())
            return std::nullopt;
        return removeAt(m_entries.find(Order{-priority->second, ticket})).item;
    }

    /** Removes and returns an item whose deadline is at or before @p now, if there is one. */
    std::optional<T> takeExpired(TimePoint now)
    {
        if (m_deadlines.empty() || m_deadlines.begin()->first > now)
            return std::nullopt;
        return remove(m_deadlines.begin()->second);
    }

    /**
     * Offers the items in queue order until @p accept has declined @p maxDeclined of them.
     *
     * @param accept  called with an item; returns whether the item was served and is to be removed
     */
    template <typename Accept>
    void serve(int maxDeclined, Accept accept)
    {
        for (auto entry = m_entries.begin(); entry != m_entries.end() && maxDeclined > 0;) {
            if (accept(entry->second.item)) {
                const auto served = entry++;
                removeAt(served);
            } else {
                ++entry;
                --maxDeclined;
            }
        }
    }

    /** @return the number of entries that are served before a new entry of this priority */
    std::size_t countAhead(int priority) const
    {
        const auto firstBehind = m_entries.lower_bound(Order{-priority + 1, 0});
        return static_cast<std::size_t>(std::distance(m_entries.begin(), firstBehind));
    }

    /** @return the entry that is served next, or null; valid until the queue is next changed */
    const Entry *front() const { return m_entries.empty() ? nullptr : &m_entries.begin()->second; }

    std::size_t size() const { return m_entries.size(); }
    bool empty() const { return m_entries.empty(); }

private:
    /** Negated priority, then ticket. */
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
