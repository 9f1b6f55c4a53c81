#include "soak/child_process.hpp"

#include <array>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace lovagegate::soak {

namespace {

constexpr int cannot_run = 127;
constexpr int log_mode = 0644;

/// Lets a process wait until its child has become another program, or has
/// ended: then the child's copy of the pipe is closed. Until then the child's
/// size is that of its parent.
class exec_barrier
{
public:
    exec_barrier()
    {
        if (::pipe2(ends_.data(), O_CLOEXEC) != 0)
            throw start_error("no pipe to a child process");
    }
    exec_barrier(const exec_barrier&) = delete;
    exec_barrier& operator=(const exec_barrier&) = delete;
    ~exec_barrier()
    {
        for (const int end : ends_)
            if (end >= 0)
                ::close(end);
    }

    void wait()
    {
        ::close(std::exchange(ends_[1], -1));
        char byte = 0;
        while (::read(ends_[0], &byte, 1) < 0 && errno == EINTR) {
        }
    }

private:
    std::array<int, 2> ends_{-1, -1};
};

/// Becomes the program. Runs between fork and exec: only calls that are safe
/// there.
[[noreturn]] void become(std::vector<char*>& arguments, const char* log,
                         pid_t owner)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    // The owner may have died before that call.
    if (::getppid() != owner)
        ::_exit(cannot_run);
    const int fd = ::open(log, O_WRONLY | O_CREAT | O_APPEND, log_mode);
    if (fd >= 0) {
        ::dup2(fd, STDOUT_FILENO);
        ::dup2(fd, STDERR_FILENO);
    }
    // A signal from the terminal is the owner's to act on.
    ::setpgid(0, 0);
    ::execv(arguments.front(), arguments.data());
    ::_exit(cannot_run);
}

} // namespace

child_process::child_process(const std::vector<std::string>& command,
                             const std::string& log)
{
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const auto& a : command)
        arguments.push_back(const_cast<char*>(a.c_str()));
    arguments.push_back(nullptr);
    const pid_t owner = ::getpid();
    exec_barrier barrier;
    id_ = ::fork();
    if (id_ < 0)
        throw start_error(command.front() + ": fork failed");
    if (id_ == 0)
        become(arguments, log.c_str(), owner);
    barrier.wait();
}

child_process::~child_process()
{
    if (end_)
        return;
    send(SIGKILL);
    int status = 0;
    ::waitpid(id_, &status, 0);
}

void child_process::send(int signal) noexcept
{
    if (!end_)
        ::kill(id_, signal);
}

std::optional<process_end> child_process::poll()
{
    int status = 0;
    if (!end_ && ::waitpid(id_, &status, WNOHANG) == id_) {
        const bool by_signal = WIFSIGNALED(status);
        end_ = process_end{by_signal,
                           by_signal ? WTERMSIG(status) : WEXITSTATUS(status)};
    }
    return end_;
}

std::optional<process_size> child_process::size() const
{
    namespace fs = std::filesystem;
    const std::string folder = "/proc/" + std::to_string(id_);
    process_size out;
    std::ifstream in(folder + "/status");
    const std::string wanted = "VmRSS:";
    for (std::string word; in >> word;)
        if (word == wanted) {
            in >> out.resident_kb;
            break;
        }
    std::error_code failure;
    for (fs::directory_iterator it(folder + "/fd", failure), end;
         !failure && it != end; it.increment(failure))
        ++out.descriptors;
    if (failure || out.resident_kb == 0)
        return std::nullopt;
    return out;
}

} // namespace lovagegate::soak
