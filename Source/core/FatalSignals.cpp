#include "core/FatalSignals.h"

#include "core/EventLog.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <string_view>

namespace shallot {

namespace {

constexpr std::array fatalSignals { SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT, SIGTRAP, SIGXCPU, SIGQUIT }; // g_error() traps
constexpr size_t handlerStackBytes = 64 * 1024; // The stack of the process may be exhausted

std::array<char, handlerStackBytes> handlerStack;
std::array<char, 160> exceptionText; // Of the uncaught exception; a signal handler reads it

extern "C" void onFatalSignal(int signal)
{
    EventLog::writeProcessEnd(signal, exceptionText.data());
    raise(signal); // Its default action is in force again
}

[[noreturn]] void onTerminate()
{
    const auto store = [](std::string_view text) {
        std::copy_n(text.begin(), std::min(text.size(), exceptionText.size() - 1), exceptionText.begin());
    };
    try {
        if (const auto exception = std::current_exception())
            std::rethrow_exception(exception);
    } catch (const std::exception& exception) {
        store(exception.what());
    } catch (...) {
        store("an unknown exception");
    }
    std::abort();
}

} // namespace

void logFatalSignals()
{
    std::set_terminate(onTerminate);
    stack_t former {};
    if (!sigaltstack(nullptr, &former) && (former.ss_flags & SS_DISABLE)) {
        stack_t stack {};
        stack.ss_sp = handlerStack.data();
        stack.ss_size = handlerStack.size();
        sigaltstack(&stack, nullptr);
    }
    struct sigaction action { };
    action.sa_handler = onFatalSignal;
    action.sa_flags = static_cast<int>(SA_ONSTACK | SA_RESETHAND);
    for (const int signal : fatalSignals) {
        struct sigaction current { };
        // A sanitizer reports more.
        if (!sigaction(signal, nullptr, &current) && current.sa_handler == SIG_DFL) // NOLINT: a macro of the system
            sigaction(signal, &action, nullptr);
    }
}

} // namespace shallot
