#include "processes.h"

#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig {

namespace {

constexpr std::size_t LogEndBytes = 600;

std::string describe(int status)
{
    if (WIFSIGNALED(status))
        return "signal " + std::to_string(WTERMSIG(status));
    return "code " + std::to_string(WEXITSTATUS(status));
}

} // namespace

Process::Process(const std::string &program, const std::vector<std::string> &arguments,
                 std::string logFile)
    : m_logFile(std::move(logFile))
{
    std::vector<char *> words;
    words.push_back(const_cast<char *>(program.c_str()));
    for (const std::string &argument : arguments)
        words.push_back(const_cast<char *>(argument.c_str()));
    words.push_back(nullptr);
    const int log = ::open(m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    m_id = ::fork();
    if (m_id < 0)
        throw std::runtime_error("fork failed");
    if (m_id == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execv(program.c_str(), words.data());
        ::_exit(127);
    }
    ::close(log);
}

Process::~Process()
{
    if (!isRunning())
        return;
    ::kill(m_id, SIGKILL);
    waitForEnd();
}

void Process::sendSignal(int signal) const
{
    if (m_ending.empty())
        ::kill(m_id, signal);
}

std::string Process::ending()
{
    int status = 0;
    if (m_ending.empty() && ::waitpid(m_id, &status, WNOHANG) == m_id)
        m_ending = describe(status);
    return m_ending;
}

void Process::waitForEnd()
{
    int status = 0;
    if (m_ending.empty() && ::waitpid(m_id, &status, 0) == m_id)
        m_ending = describe(status);
}

std::string Process::logEnd() const
{
    std::ifstream file(m_logFile);
    const std::string text {std::istreambuf_iterator<char>(file), {}};
    return text.size() > LogEndBytes ? text.substr(text.size() - LogEndBytes) : text;
}

std::size_t memoryOf(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/statm");
    std::size_t size = 0;
    std::size_t resident = 0;
    file >> size >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

} // namespace rig
