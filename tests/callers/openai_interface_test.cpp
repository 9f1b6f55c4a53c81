// The same crowds at the OpenAI interface, program `lovagegate serve`. Its
// settings have no memory limit, so the bound is the smallest machine's.

#include "soak/child_process.hpp"
#include "tests/callers/crowd.hpp"
#include "tests/callers/gateway_process.hpp"

#include <catch2/catch.hpp>
#include <iostream>

namespace {

using namespace lovagegate;
using namespace lovagegate::callers_test;

constexpr std::size_t body_limit = std::size_t{1024} * 1024;
constexpr std::size_t block_bytes = std::size_t{64} * 1024;
constexpr std::size_t bound_kb = resident_factor * 120 * 1024;
constexpr std::size_t crowd_size = 300;

/// `lovagegate serve` as a process of its own, without a platform: it answers
/// the pages of operators and refuses requests for work.
class openai_process
{
public:
    openai_process()
    {
        std::filesystem::create_directories(folder_);
        std::ofstream(folder_ / "key") << std::string(64, 'k');
        std::ofstream(folder_ / "n0.ini")
            << "[instance]\nname = n0\nfailure-domain = z\nlisten = "
            << to_string(address_) << "\npeer-listen = " << address_.address
            << ":8081\n[platform]\nconfig-address = 127.0.0.1:1\n"
            << "list-address = 127.0.0.1:1\n[peers]\nkey-file = "
            << (folder_ / "key").string() << '\n';
        std::filesystem::permissions(folder_ / "key",
                                     std::filesystem::perms::owner_read);
        ::setenv("ASAN_OPTIONS", "quarantine_size_mb=1:detect_leaks=0", 1);
        process_ = std::make_unique<soak::child_process>(
            std::vector<std::string>{LOVAGEGATE_PROGRAM, "serve", "--settings",
                                     folder_ / "n0.ini"},
            folder_ / "n0.log");
    }
    ~openai_process()
    {
        process_.reset();
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
    openai_process(const openai_process&) = delete;
    openai_process& operator=(const openai_process&) = delete;

    [[nodiscard]] bool answers() const
    {
        const auto end = std::chrono::steady_clock::now() + max_wait;
        do {
            if (status_of(address_, "GET /healthz HTTP/1.1\r\nHost: h\r\n"
                                    "\r\n") == 200)
                return true;
            std::this_thread::sleep_for(50ms);
        } while (std::chrono::steady_clock::now() < end);
        return false;
    }

    void play(const char* kind, const behaviour& b) const
    {
        REQUIRE(answers());
        {
            crowd all(address_, b);
            all.play(3s, [] {});
        }
        CHECK(answers());
        CHECK(!process_->poll());
        const std::size_t peak = peak_resident_kb(process_->id());
        CHECK(peak < bound_kb);
        std::cout << "callers: " << kind << " at the OpenAI interface: peak "
                  << peak / 1024 << " MB\n";
    }

private:
    const std::filesystem::path folder_ =
        std::filesystem::temp_directory_path() /
        ("lovagegate-openai-" + std::to_string(::getpid()));
    const settings::endpoint address_ = {own_address(), 8080};
    std::unique_ptr<soak::child_process> process_;
};

const std::string head = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n"
                         "Content-Type: application/json\r\n";

std::string with_length(std::size_t bytes)
{
    return "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

} // namespace

TEST_CASE("Legal bodies one byte short at the OpenAI interface", "[callers]")
{
    const std::size_t piece = GENERATE(block_bytes, 4096);
    openai_process().play(
        "bodies one byte short",
        {crowd_size,
         {{head + with_length(body_limit)},
          {std::string(block_bytes, 'x'), body_limit / block_bytes - 1},
          {std::string(block_bytes - 1, 'x')}},
         piece});
}

TEST_CASE("Bodies over the limit at the OpenAI interface", "[callers]")
{
    const bool has_length = GENERATE(true, false);
    const std::string start =
        head + (has_length ? with_length(64 * body_limit)
                           : "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n");
    openai_process().play(
        "bodies over the limit",
        {crowd_size,
         {{start},
          {std::string(block_bytes, 'x'), 2 * body_limit / block_bytes}}});
}

TEST_CASE("Heads, half requests and pipelines at the OpenAI interface",
          "[callers]")
{
    std::string many = head;
    for (int i = 0; i < 4000; ++i)
        many += "a:\r\n";
    std::string pages;
    for (int i = 0; i < 1000; ++i)
        pages += "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::array bytes{
        many,
        many + with_length(10) + "x",
        std::string("POST /v1/ch"),
        head + with_length(1000) + "half",
        pages,
        head + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nTrailer: x"};
    const std::size_t kind = GENERATE(range(0U, 6U));
    openai_process().play("heads, half requests and pipelines",
                          {crowd_size, {{bytes.at(kind)}}});
}
