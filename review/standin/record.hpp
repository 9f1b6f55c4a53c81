#ifndef LOVAGEGATE_REVIEW_STANDIN_RECORD_HPP
#define LOVAGEGATE_REVIEW_STANDIN_RECORD_HPP

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <mutex>
#include <string>

namespace lovagegate::review {

/// The file that tells what was sent, answered and run, and when.
class record
{
public:
    explicit record(const std::string& file)
        : file_(std::fopen(file.c_str(), "w")),
          start_(std::chrono::steady_clock::now())
    {
    }
    ~record()
    {
        if (file_ != nullptr)
            std::fclose(file_);
    }
    record(const record&) = delete;
    record& operator=(const record&) = delete;

    /// @return milliseconds since the start
    [[nodiscard]] std::int64_t now() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::steady_clock::now() - start_)
            .count();
    }

    /// Writes one line with its time.
    /// @return that time
    std::int64_t write(const std::string& line)
    {
        const std::lock_guard lock(mutex_);
        const std::int64_t at = now();
        if (file_ != nullptr) {
            std::fprintf(file_, "%8lld ms  %s\n", static_cast<long long>(at),
                         line.c_str());
            std::fflush(file_);
        }
        return at;
    }

private:
    std::FILE* file_;
    std::chrono::steady_clock::time_point start_;
    std::mutex mutex_;
};

} // namespace lovagegate::review

#endif
