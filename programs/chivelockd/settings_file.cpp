#include "settings_file.h"

#include <fstream>
#include <sstream>

namespace chivelock {

tl::expected<std::string, std::string> readFile(const std::string &path)
{
    const std::ifstream file(path);
    if (!file) {
        return tl::unexpected("can't read " + path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string formatProblems(const document_error &error)
{
    std::string lines;
    for (const document_problem &problem : error.problems) {
        lines += problem.path + ": " + problem.message + " (value: " + problem.value + ")\n";
    }
    return lines;
}

} // namespace chivelock
