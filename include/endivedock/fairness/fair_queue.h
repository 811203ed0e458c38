#pragma once

#include "endivedock/core.h"
#include "endivedock/fairness/team_hash.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace endivedock {

/** What decides on the position of a request in a FairQueue. */
struct FairQueueKey
{
    /** Requests with a higher priority are served first. */
    int priority = 0;
    TeamHash team;
    /** Expected service time. */
    Microseconds work{0};
};

/**
 * A bounded queue of requests with deadlines. Requests of a higher priority are served first. Among
 * those of one priority, each team gets the same work per time, and what a team leaves is divided
 * among the others (start-time fair queueing; Goyal, Vin and Cheng, 1996). A team with few requests
 * is thus served as if it were alone, however many requests another team sends. Work is expected
 * service time, so a team with long requests gets fewer of them served.
 *
 * The requests of one team are served in the order of their arrival; so are all requests if there
 * is one team. A request that leaves the queue without being served costs its team nothing. Not
 * thread-safe.
 */
template <typename T>
class FairQueue
{
public:
    /** Identifies an entry of the queue. */
    using Ticket = std::uint64_t;

    /** Limit on the teams of one priority whose position is kept while none of their requests wait.
     */
    static constexpr std::size_t maxIdleTeams = 1024;

    struct Entry
    {
        T item;
        FairQueueKey key;
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
     * Adds an item. If the queue is full, the item that would be served last is refused: the new
     * one, or else an entry, which is evicted.
     *
     * @param limit  maximum number of entries
     */
    Admission add(T item, const FairQueueKey &key, TimePoint deadline, std::size_t limit)
    {
        Admission result;
        if (m_entries.size() >= limit) {
            const auto last = lastTicket();
            if (!last || !isBefore(key, m_entries.at(*last).key))
                return result;
            result.evicted = remove(*last);
        }
        const Ticket ticket = m_nextTicket++;
        Level &level = m_levels[-key.priority];
        TeamQueue &team = level.teams[key.team];
        if (team.tickets.empty())
            team.start = std::max(team.start, level.virtualTime);
        team.tickets.insert(ticket);
        team.work += workOf(key);
        m_entries.emplace(ticket, Entry{std::move(item), key, deadline});
        m_deadlines.emplace(deadline, ticket);
        result.ticket = ticket;
        return result;
    }

    /** Counts the work of a request that is served without having been in the queue. */
    void charge(const FairQueueKey &key)
    {
        Level &level = m_levels[-key.priority];
        TeamQueue &team = level.teams[key.team];
        const double start = std::max(team.start, level.virtualTime);
        level.virtualTime = start;
        team.start = start + workOf(key);
        forgetIdleTeams(level);
    }

    /** @return the item, or null if the ticket is unknown; valid until the queue is next changed */
    T *find(Ticket ticket)
    {
        const auto found = m_entries.find(ticket);
        return found == m_entries.end() ? nullptr : &found->second.item;
    }

    /** @return the removed item; nothing if the ticket is unknown */
    std::optional<T> remove(Ticket ticket)
    {
        const auto found = m_entries.find(ticket);
        if (found == m_entries.end())
            return std::nullopt;
        return take(found, false);
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
        for (auto &[negatedPriority, level] : m_levels) {
            std::vector<Cursor> cursors = cursorsOf(level);
            while (!cursors.empty()) {
                std::pop_heap(cursors.begin(), cursors.end(), isServedLater);
                Cursor &cursor = cursors.back();
                const auto entry = m_entries.find(*cursor.ticket);
                cursor.position += workOf(entry->second.key);
                ++cursor.ticket;
                if (accept(entry->second.item))
                    take(entry, true);
                else if (--maxDeclined <= 0)
                    return;
                if (cursor.ticket == cursor.end)
                    cursors.pop_back();
                else
                    std::push_heap(cursors.begin(), cursors.end(), isServedLater);
            }
        }
    }

    /** @return the number of entries that are served before a new entry with this key */
    std::size_t countAhead(const FairQueueKey &key) const
    {
        std::size_t result = 0;
        for (const auto &[negatedPriority, level] : m_levels) {
            if (-negatedPriority < key.priority)
                break;
            const bool isSamePriority = -negatedPriority == key.priority;
            const double position = isSamePriority ? nextPosition(level, key.team) : 0;
            for (const auto &[id, team] : level.teams) {
                if (!isSamePriority || id == key.team) {
                    result += team.tickets.size();
                    continue;
                }
                double start = team.start;
                for (const Ticket ticket : team.tickets) {
                    if (start > position)
                        break;
                    start += workOf(m_entries.at(ticket).key);
                    ++result;
                }
            }
        }
        return result;
    }

    /** @return the entry that is served next, or null; valid until the queue is next changed */
    const Entry *front() const
    {
        for (const auto &[negatedPriority, level] : m_levels) {
            const TeamQueue *first = nullptr;
            for (const auto &[id, team] : level.teams) {
                if (!team.tickets.empty() &&
                    (first == nullptr || positionOf(team) < positionOf(*first)))
                    first = &team;
            }
            if (first != nullptr)
                return &m_entries.at(*first->tickets.begin());
        }
        return nullptr;
    }

    std::size_t size() const { return m_entries.size(); }
    /** @return the teams whose position is kept although none of their requests wait */
    std::size_t idleTeamCount() const
    {
        std::size_t result = 0;
        for (const auto &[negatedPriority, level] : m_levels) {
            result += static_cast<std::size_t>(
                    std::count_if(level.teams.begin(), level.teams.end(),
                                  [](const auto &item) { return item.second.tickets.empty(); }));
        }
        return result;
    }
    bool empty() const { return m_entries.empty(); }

private:
    struct TeamQueue
    {
        /** Position of the team's next request: work that was served to the team, at least that of
         * the level when the team's queue was last empty. */
        double start = 0;
        /** In the order of arrival. */
        std::set<Ticket> tickets;
        /** Of all requests in the queue. */
        double work = 0;
    };
    /** Requests of one priority. */
    struct Level
    {
        /** Position of the request that was served last. */
        double virtualTime = 0;
        std::map<TeamHash, TeamQueue> teams;
    };
    using Entries = std::map<Ticket, Entry>;

    /** A request without work would leave its team in the first place for ever. */
    static double workOf(const FairQueueKey &key)
    {
        return std::max(1.0, static_cast<double>(key.work.count()));
    }

    static std::pair<double, Ticket> positionOf(const TeamQueue &team)
    {
        return {team.start, *team.tickets.begin()};
    }

    /** @return the position behind all requests of the team */
    static double nextPosition(const Level &level, TeamHash id)
    {
        const auto team = level.teams.find(id);
        if (team == level.teams.end())
            return level.virtualTime;
        if (team->second.tickets.empty())
            return std::max(team->second.start, level.virtualTime);
        return team->second.start + team->second.work;
    }

    /** @return whether a new request would be served before the last one of the queue */
    bool isBefore(const FairQueueKey &key, const FairQueueKey &last) const
    {
        if (key.priority != last.priority)
            return key.priority > last.priority;
        if (key.team == last.team)
            return false;
        const Level &level = m_levels.at(-last.priority);
        return nextPosition(level, key.team) < nextPosition(level, last.team) - workOf(last);
    }

    /** @return the newest request of the team that is furthest ahead, of the lowest priority */
    std::optional<Ticket> lastTicket() const
    {
        for (auto level = m_levels.rbegin(); level != m_levels.rend(); ++level) {
            const TeamQueue *last = nullptr;
            for (const auto &[id, team] : level->second.teams) {
                if (!team.tickets.empty() &&
                    (last == nullptr || team.start + team.work > last->start + last->work))
                    last = &team;
            }
            if (last != nullptr)
                return *last->tickets.rbegin();
        }
        return std::nullopt;
    }

    /** The next request of a team in a walk over the queue. */
    struct Cursor
    {
        double position;
        std::set<Ticket>::const_iterator ticket;
        std::set<Ticket>::const_iterator end;
    };

    static bool isServedLater(const Cursor &a, const Cursor &b)
    {
        return std::pair(a.position, *a.ticket) > std::pair(b.position, *b.ticket);
    }

    /** @return a heap with one cursor for each team with requests in the queue */
    static std::vector<Cursor> cursorsOf(const Level &level)
    {
        std::vector<Cursor> result;
        for (const auto &[id, team] : level.teams) {
            if (!team.tickets.empty())
                result.push_back({team.start, team.tickets.begin(), team.tickets.end()});
        }
        std::make_heap(result.begin(), result.end(), isServedLater);
        return result;
    }

    T take(typename Entries::iterator position, bool isServed)
    {
        const Ticket ticket = position->first;
        Entry entry = std::move(position->second);
        m_entries.erase(position);
        m_deadlines.erase({entry.deadline, ticket});
        Level &level = m_levels.at(-entry.key.priority);
        TeamQueue &team = level.teams.at(entry.key.team);
        team.tickets.erase(ticket);
        team.work = team.tickets.empty() ? 0 : team.work - workOf(entry.key);
        if (isServed) {
            level.virtualTime = std::max(level.virtualTime, team.start);
            team.start += workOf(entry.key);
        }
        forgetIdleTeams(level);
        return std::move(entry.item);
    }

    /** Forgets teams that would be served next anyway, and others if there are too many. */
    static void forgetIdleTeams(Level &level)
    {
        if (level.teams.size() <= maxIdleTeams)
            return;
        std::erase_if(level.teams, [&level](const auto &item) {
            return item.second.tickets.empty() && item.second.start <= level.virtualTime;
        });
        if (level.teams.size() > maxIdleTeams)
            std::erase_if(level.teams,
                          [](const auto &item) { return item.second.tickets.empty(); });
    }

    Entries m_entries;
    std::set<std::pair<TimePoint, Ticket>> m_deadlines;
    /** By negated priority. */
    std::map<int, Level> m_levels;
    Ticket m_nextTicket = 1;
};

} // namespace endivedock
