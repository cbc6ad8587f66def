/**
 * @file fuzz_main.cpp
 * chicoryhead-fuzz: runs one fuzz target with libFuzzer.
 *
 * usage: chicoryhead-fuzz --target=NAME [libFuzzer options and corpus folders]
 *        chicoryhead-fuzz --write_seeds=FOLDER
 *        chicoryhead-fuzz --list
 */

#include "fuzz_target.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>

using namespace chicoryhead::fuzz;

namespace {

const fuzz_target *selectedTarget = nullptr;

constexpr int exitUsage = 2;

void writeSeeds(const std::filesystem::path &folder)
{
    for (const fuzz_target &target : targets()) {
        const auto targetFolder = folder / target.name;
        std::filesystem::create_directories(targetFolder);
        int number = 0;
        for (const std::string &seed : target.seeds()) {
            std::ofstream file(targetFolder / ("seed-" + std::to_string(++number)),
                               std::ios::binary);
            file << seed;
            if (!file) {
                std::cerr << "chicoryhead-fuzz: can't write a seed to " << targetFolder << '\n';
                std::exit(EXIT_FAILURE);
            }
        }
    }
}

/// Removes an option from the arguments and returns its value; empty if the option is missing.
std::string takeOption(int *count, char ***arguments, const std::string &name)
{
    const std::string prefix = "--" + name + "=";
    for (int i = 1; i < *count; ++i) {
        const std::string argument = (*arguments)[i];
        if (!argument.starts_with(prefix))
            continue;
        std::copy(*arguments + i + 1, *arguments + *count, *arguments + i);
        --*count;
        return argument.substr(prefix.size());
    }
    return {};
}

} // namespace

// libFuzzer requires the names of this function and the next one.
extern "C" int LLVMFuzzerInitialize(int *count, char ***arguments) // NOLINT
{
    if (*count == 2 && std::string((*arguments)[1]) == "--list") {
        for (const fuzz_target &target : targets())
            std::cout << target.name << '\n';
        std::exit(EXIT_SUCCESS);
    }
    if (const auto folder = takeOption(count, arguments, "write_seeds"); !folder.empty()) {
        writeSeeds(folder);
        std::exit(EXIT_SUCCESS);
    }
    const auto name = takeOption(count, arguments, "target");
    const auto found = std::find_if(targets().begin(), targets().end(),
                                    [&](const fuzz_target &target) { return target.name == name; });
    if (found == targets().end()) {
        std::cerr << "chicoryhead-fuzz: unknown fuzz target \"" << name << "\"; see --list\n";
        std::exit(exitUsage);
    }
    selectedTarget = &*found;
    return 0;
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT
{
    selectedTarget->run({reinterpret_cast<const std::byte *>(data), size});
    return 0;
}
