/**
 * @file trace_scenario.h
 * Scenarios from which the traces in tests/traces are recorded.
 */

#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace chicoryhead::test {

class deployment;

/** One scenario; a trace of one instance is recorded while it runs. */
struct trace_scenario
{
    std::string name;           ///< of the file, without ".trace"
    std::string fault;          ///< what happens, for the head of the file
    std::string outcome;        ///< what the recorded instance has to do
    std::uint32_t recorded = 1; ///< id of the recorded instance
    void (*play)(deployment &fleet) = nullptr;
    /// Whether invariants held; the recorder refuses to write a trace otherwise.
    bool (*holds)(const deployment &fleet) = nullptr;
    std::vector<std::string> contains; ///< lines that the trace has to contain
};

/** All scenarios. */
const std::vector<trace_scenario> &traceScenarios();

/** Records a scenario; false if its expected outcome did not hold. */
bool recordScenario(const trace_scenario &scenario, std::ostream &stream);

} // namespace chicoryhead::test
