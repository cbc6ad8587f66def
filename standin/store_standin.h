/**
 * @file store_standin.h
 * Stand-in of the platform's store: items with revisions, watches, transactions and faults.
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

namespace chicoryhead::standin {

/** How the stand-in answers. */
enum class store_behaviour : std::uint8_t {
    Serving,
    Busy,      ///< 503
    Throttled, ///< 429
    Silent,    ///< calls get no answer
    Lossy,     ///< writes are carried out, but get no answer
    Garbage,   ///< 200 with a body that is no JSON
};

/** Name of a behaviour for logs. */
std::string_view toString(store_behaviour behaviour);

/** The store on an io_context that one thread runs. */
class store_standin
{
public:
    /** @param listen port 0 takes a free one. */
    store_standin(asio::io_context &context, const endpoint &listen);
    ~store_standin();
    store_standin(const store_standin &) = delete;
    store_standin &operator=(const store_standin &) = delete;

    /** Where the store listens. */
    endpoint address() const;

    /** Writes an item; returns its revision. */
    std::uint64_t put(const std::string &key, const std::string &value);

    /** Deletes an item. */
    void remove(const std::string &key);

    /** The value of an item; empty when there is none. */
    std::string value(const std::string &key) const;

    /** Drops the history, so that watches after an older revision get 410. */
    void dropHistory();

    void setBehaviour(store_behaviour behaviour);

    /** Items on one page. */
    void setPageSize(std::size_t items);

    /** Calls of a path since the start. */
    std::size_t calls(const std::string &path) const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace chicoryhead::standin
