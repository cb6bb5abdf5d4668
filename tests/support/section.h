#pragma once

#include <string>
#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

namespace snipestream::testing
{

/// Returns the titles of the sections that are open, outermost first.
inline auto openSections() -> std::vector<std::string> &
{
    static std::vector<std::string> titles;
    return titles;
}

/// Returns the titles of the open sections on one line, for failure messages.
inline auto sectionPath() -> std::string
{
    std::string path;
    for (const auto &title : openSections()) {
        path.append(path.empty() ? "" : " > ").append(title);
    }
    return path;
}

/// Runs `body` as a named section of a test. A failed assertion is reported with the titles of all open sections, which
/// identify the section that failed. The exception is rethrown, so the sections after it do not run.
template<typename Body>
void section(const std::string &title, Body &&body)
{
    openSections().push_back(title);
    try {
        std::forward<Body>(body)();
    } catch (CppUnit::Exception &error) {
        if (!error.message().details().empty() && error.message().details().find("in section:") != std::string::npos) {
            openSections().pop_back();
            throw;
        }
        CppUnit::Message message = error.message();
        message.addDetail("in section: " + sectionPath());
        error.setMessage(message);
        openSections().pop_back();
        throw;
    }
    openSections().pop_back();
}

} // namespace snipestream::testing
