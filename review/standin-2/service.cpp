#include "service.hpp"

namespace review {

void run_log::add(engine_run run)
{
    const std::lock_guard lock(mutex_);
    runs_.push_back(std::move(run));
}

std::vector<engine_run> run_log::all() const
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

engine::engine(engine_address self, run_log& log, std::int64_t work_ms)
    : self_(std::move(self)), log_(log), work_ms_(work_ms)
{
    server_ = std::make_unique<server>(self_.at, [this](int fd) { serve(fd); });
}

std::string engine::entry(const std::string& state) const
{
    return R"({"service":")" + self_.service + R"(","address":")" +
           self_.at.address + ":" + std::to_string(self_.at.port) +
           R"(","zone":")" + self_.zone +
           R"(","version":"v1","slots":6,"state":")" + state +
           R"(","coldRemainingMs":0,"sequence":1,"born":1765000000000})";
}

void engine::serve(int fd)
{
    std::string rest;
    while (const auto request = read_message(fd, rest)) {
        const auto attempt = request->header("x-attempt-id");
        const auto expected = request->header("x-expected-instance");
        const std::string id_line = "\r\nX-Attempt-Id: " + attempt;
        if (!expected.empty() && expected != self_.id) {
            if (!send_all(fd, "HTTP/1.1 421 Misdirected Request" + id_line +
                                  "\r\nX-Instance-Id: " + self_.id +
                                  "\r\nContent-Length: 0\r\n\r\n"))
                return;
            continue;
        }
        log_.add({attempt, self_.id, self_.service, now_ms()});
        sleep_ms(work_ms_);
        const std::string body = self_.service + " " + self_.id + "\n";
        if (!send_all(fd, "HTTP/1.1 200 OK" + id_line +
                              "\r\nX-Server-Seal: " + self_.id + "." + attempt +
                              "\r\nContent-Type: text/plain"
                              "\r\nContent-Length: " +
                              std::to_string(body.size()) + "\r\n\r\n" + body))
            return;
    }
}

} // namespace review
