#pragma once

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <utility>

namespace endivedock {

/**
 * A map that keeps the newest entries up to a bound and forgets the oldest insertion first, so that
 * state learned from traffic cannot grow without limit.
 */
template <typename Key, typename Value>
class BoundedMap
{
public:
    /** @param capacity entries kept at most; at least 1 */
    explicit BoundedMap(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /** @return the value of @p key, or null; valid until the next change */
    Value *find(const Key &key)
    {
        const auto found = m_values.find(key);
        return found == m_values.end() ? nullptr : &found->second;
    }

    /** @return the value of @p key, created if absent; valid until the next change */
    Value &operator[](const Key &key)
    {
        const auto [position, inserted] = m_values.try_emplace(key);
        if (inserted) {
            m_order.push_back(key);
            dropOldest(key);
        }
        return position->second;
    }

    std::size_t size() const { return m_values.size(); }

private:
    void dropOldest(const Key &keep)
    {
        while (m_values.size() > m_capacity && m_order.front() != keep) {
            m_values.erase(m_order.front());
            m_order.pop_front();
        }
    }

    std::size_t m_capacity;
    std::unordered_map<Key, Value> m_values;
    std::deque<Key> m_order;
};

} // namespace endivedock
