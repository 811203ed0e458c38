#pragma once

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <utility>

namespace endivedock {

/**
 * A map with a bounded number of entries. An insertion beyond the bound evicts the oldest entries
 * by time of insertion, so that state learned from traffic cannot grow without limit.
 */
template <typename Key, typename Value>
class BoundedMap
{
public:
    /** @param capacity  largest number of entries; at least 1 */
    explicit BoundedMap(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /** @return the value of @p key, or null; valid until the next insertion */
    Value *find(const Key &key)
    {
        const auto found = m_values.find(key);
        return found == m_values.end() ? nullptr : &found->second;
    }

    /** @return the value of @p key, or null; valid until the next insertion */
    const Value *find(const Key &key) const
    {
        const auto found = m_values.find(key);
        return found == m_values.end() ? nullptr : &found->second;
    }

    /** @return the value of @p key, created if absent; valid until the next insertion */
    Value &operator[](const Key &key)
    {
        const auto [position, inserted] = m_values.try_emplace(key);
        if (inserted) {
            m_insertionOrder.push_back(key);
            evictOldest(key);
        }
        return position->second;
    }

    std::size_t size() const { return m_values.size(); }
    auto begin() const { return m_values.begin(); }
    auto end() const { return m_values.end(); }

private:
    /** Evicts entries down to the capacity, but never the entry of @p insertedKey. */
    void evictOldest(const Key &insertedKey)
    {
        while (m_values.size() > m_capacity && m_insertionOrder.front() != insertedKey) {
            m_values.erase(m_insertionOrder.front());
            m_insertionOrder.pop_front();
        }
    }

    std::size_t m_capacity;
    std::unordered_map<Key, Value> m_values;
    std::deque<Key> m_insertionOrder;
};

} // namespace endivedock
