#pragma once

#include <concepts>
#include <exception>
#include <iostream>

namespace lagoondeck {

/// Runs the main function of a program and returns its exit code. An exception that nothing else
/// handles is written to the standard error output and ends the program with the given exit code.
template <std::invocable Main>
int runProgram(const char *name, int exitCodeOnException, Main &&mainFunction)
{
    try {
        return mainFunction();
    } catch (const std::exception &error) {
        std::cerr << name << ": " << error.what() << "\n";
    } catch (...) {
        std::cerr << name << ": failed\n";
    }
    return exitCodeOnException;
}

} // namespace lagoondeck
