/**
 * @file fabric.cpp
 * Stand-in of the fabric: sprays callers' packets over the instances and delivers replies.
 *
 * Upstreams spray their replies themselves (they poll GET /spray), because an instance recognizes
 * an upstream by the outer source address, which a relay on the same machine would replace.
 */

#include "common.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(caller, "127.0.0.1:6000", "address for packets from callers");
DEFINE_string(egress, "127.0.0.1:6001", "address for packets from instances to callers");
DEFINE_string(control, "127.0.0.1:6002", "HTTP address for control");
DEFINE_string(direct, "", "tunnel address of one upstream to use without instances, for tests");
DEFINE_uint64(seed, 1, "seed of the random choices");

using namespace standin;

namespace {

/** The fabric's ports and what it knows of callers. */
class fabric
{
public:
    explicit fabric(asio::io_context &context)
        : m_sprayer(context, FLAGS_seed)
        , m_callerSocket(
              context, endpointOrExit(FLAGS_caller),
              [this](byte_view bytes, const endpoint &source) { onCaller(bytes, source); })
        , m_egressSocket(context, endpointOrExit(FLAGS_egress),
                         [this](byte_view bytes, const endpoint &) { onEgress(bytes); })
        , m_server(context, endpointOrExit(FLAGS_control),
                   [this](const http_request &request, const http_reply &reply) {
                       reply(onControl(request));
                   })
    {
        if (!FLAGS_direct.empty())
            m_sprayer.configure({{"instances", json::array({FLAGS_direct})}});
    }

private:
    /** An endpoint in the inner header; ports follow the address header of 20 bytes. */
    static endpoint innerEndpoint(byte_view bytes, std::size_t addressAt, std::size_t portAt)
    {
        endpoint value;
        for (std::size_t i = 0; i < 4; ++i)
            value.address =
                value.address << 8U | std::to_integer<std::uint32_t>(bytes[addressAt + i]);
        for (std::size_t i = 0; i < 2; ++i)
            value.port = static_cast<std::uint16_t>(
                value.port << 8U | std::to_integer<std::uint32_t>(bytes[portAt + i]));
        return value;
    }

    void onCaller(byte_view bytes, const endpoint &source)
    {
        if (bytes.size() < 28)
            return;
        ++m_fromCallers;
        m_callers[innerEndpoint(bytes, 12, 20)] = source;
        m_sprayer.send(m_callerSocket, bytes);
    }

    void onEgress(byte_view bytes)
    {
        if (bytes.size() < 28)
            return;
        const auto caller = m_callers.find(innerEndpoint(bytes, 16, 22));
        if (caller == m_callers.end()) {
            ++m_undeliverable;
            return;
        }
        ++m_toCallers;
        m_sprayer.send(m_callerSocket, bytes, caller->second);
    }

    http_response onControl(const http_request &request)
    {
        if (request.path == "/counters")
            return jsonResponse({{"from_callers", m_fromCallers},
                                 {"to_callers", m_toCallers},
                                 {"undeliverable", m_undeliverable},
                                 {"dropped", m_sprayer.dropped()}});
        if (request.path != "/spray")
            return {404, {}, {}};
        if (request.method != "GET") {
            const json document = json::parse(request.body, nullptr, false);
            if (document.is_discarded())
                return {400, "not JSON", {}};
            m_sprayer.configure(document);
        }
        json state = m_sprayer.describe();
        // Without instances, upstreams hand their replies straight to the egress.
        if (!FLAGS_direct.empty())
            state["instances"] = json::array({FLAGS_egress});
        return jsonResponse(state);
    }

    packet_sprayer m_sprayer;
    std::map<endpoint, endpoint> m_callers; ///< outer by inner address
    std::uint64_t m_fromCallers = 0;
    std::uint64_t m_toCallers = 0;
    std::uint64_t m_undeliverable = 0;
    udp_socket m_callerSocket;
    udp_socket m_egressSocket;
    http_server m_server;
};

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    asio::io_context context(1);
    const fabric self(context);
    runUntilSignal(context);
    return 0;
}
