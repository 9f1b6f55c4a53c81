#include "crashing_engine.hpp"

namespace review {

crashing_engine::crashing_engine(engine_address self, std::string crashing_path,
                                 std::int64_t work_ms, std::int64_t down_ms,
                                 store& platform, run_log& log)
    : self_(std::move(self)), crashing_path_(std::move(crashing_path)),
      work_ms_(work_ms), down_ms_(down_ms), platform_(platform), log_(log)
{
    life_ = std::thread([this] { live(); });
}

crashing_engine::~crashing_engine()
{
    stopping_ = true;
    life_.join();
}

std::string crashing_engine::entry(std::int64_t start) const
{
    return R"({"service":")" + self_.service + R"(","address":")" +
           self_.at.address + ":" + std::to_string(self_.at.port) +
           R"(","zone":")" + self_.zone +
           R"(","version":"v1","slots":6,"state":"ready",)"
           R"("coldRemainingMs":0,"sequence":1,"born":)" +
           std::to_string(1765000000000 + start) + "}";
}

void crashing_engine::live()
{
    constexpr std::int64_t check_ms = 1;
    for (std::int64_t start = 1; !stopping_; ++start) {
        {
            server s(self_.at, [this](int fd) { serve(fd); });
            up_ = true;
            platform_.put(key(), entry(start));
            while (!crashed_ && !stopping_)
                sleep_ms(check_ms);
            up_ = false;
            s.stop();
        }
        for (const std::int64_t end = now_ms() + down_ms_;
             crashed_ && now_ms() < end && !stopping_;)
            sleep_ms(check_ms);
        crashed_ = false;
    }
}

void crashing_engine::serve(int fd)
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
        if (request->word(1) == crashing_path_) {
            crashed_ = true;
            // The crash resets the connection.
            while (read_message(fd, rest)) {
            }
            return;
        }
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
