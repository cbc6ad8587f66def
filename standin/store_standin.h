/**
 * @file store_standin.h
 * Simulated platform store: items with revisions, watches, transactions and injected faults.
 */

#pragma once

#include "core/core_type.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryhead::standin {

/** How the store answers requests. */
enum class store_behaviour : std::uint8_t {
    Serving,
    Busy,      ///< 503
    Throttled, ///< 429
    Silent,    ///< requests get no answer
    Lossy,     ///< writes are applied, but get no answer
    Garbage,   ///< 200 with a body that is not valid JSON
};

/** Name of a behaviour for logs. */
std::string_view toString(store_behaviour behaviour);

/** A copy of a store's content, to restore it from. */
struct store_copy
{
    struct content;
    std::shared_ptr<const content> kept;
};

/** A store on an io_context that a single thread runs. */
class store_standin
{
public:
    /** @param listen address to listen on; port 0 selects a free port. */
    store_standin(asio::io_context &context, const endpoint &listen);
    ~store_standin();
    store_standin(const store_standin &) = delete;
    store_standin &operator=(const store_standin &) = delete;

    /** The address that the store listens on. */
    endpoint address() const;

    /** Writes an item; returns its revision. */
    std::uint64_t put(const std::string &key, const std::string &value);

    /** Deletes an item. */
    void remove(const std::string &key);

    /** The value of an item; empty if there is none. */
    std::string value(const std::string &key) const;

    /** Copies the content and the history. */
    store_copy copy() const;

    /**
     * Replaces the content by a copy, as after a loss of data: later changes are undone, their
     * revisions are given out again, and the epoch counts up. Waiting watches get status 410.
     */
    void restore(const store_copy &copied);

    /** Epoch in the header of each answer. */
    std::uint64_t epoch() const;

    /** Sets whether answers have the header with the epoch. */
    void setSendsEpoch(bool sendsEpoch);

    /** Revision of the last change. */
    std::uint64_t revision() const;

    /** Keys with a prefix. */
    std::vector<std::string> keys(const std::string &prefix) const;

    /** Drops the history, so that watches from an older revision get status 410. */
    void dropHistory();

    void setBehaviour(store_behaviour behaviour);

    /** Sets the maximum number of items in one range response. */
    void setPageSize(std::size_t items);

    /** Number of requests for a path since the start. */
    std::size_t calls(const std::string &path) const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace chicoryhead::standin
