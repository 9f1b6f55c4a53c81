#include "lovagegate/cli/check.hpp"

#include "lovagegate/core/counters.hpp"
#include "lovagegate/settings/load.hpp"
#include "lovagegate/settings/problem.hpp"
#include "lovagegate/ticket/ticket_book.hpp"
#include "lovagegate/ticket/ticket_parser.hpp"

#include <filesystem>
#include <fstream>
#include <ostream>
#include <sstream>

namespace lovagegate::cli {

namespace {

/// Checks the key file if it exists: it may be on another machine than the
/// one that runs the check.
void check_key(const std::string& file, std::ostream& out)
{
    if (std::filesystem::exists(file)) {
        static_cast<void>(settings::load_key(file));
    } else {
        out << file << ": the key file does not exist on this machine\n";
    }
}

bool check_settings(const std::string& file, std::ostream& out,
                    std::ostream& err)
{
    try {
        const auto s = settings::load(file);
        check_key(s.peers.key_file, out);
        out << file << ": settings of " << s.instance.name.str()
            << " are valid\n";
        return true;
    } catch (const settings::settings_error& e) {
        err << e.what() << '\n';
        return false;
    }
}

/// Checks tickets, each against the state declared by the tickets before it.
class ticket_checker
{
public:
    ticket_checker(std::ostream& out, std::ostream& err)
        : book_(counters_), out_(out), err_(err)
    {
    }

    bool check(const std::string& file)
    {
        std::ostringstream text;
        const std::ifstream in(file, std::ios::binary);
        if (!in || std::filesystem::is_directory(file)) {
            err_ << file << ": expected a readable file\n";
            return false;
        }
        text << in.rdbuf();
        try {
            show(file, book_.preview(text.str()));
            static_cast<void>(book_.apply(text.str()));
            return true;
        } catch (const ticket::parse_error& e) {
            err_ << file << ": " << (e.path().empty() ? "/" : e.path())
                 << ": expected " << e.expected() << " ("
                 << ticket::to_string(e.failure()) << ")\n";
            return false;
        }
    }

private:
    void show(const std::string& file,
              const std::vector<ticket::object_change>& changes)
    {
        out_ << file << ": ticket is valid\n";
        std::map<std::string, std::size_t> lines;
        for (const auto& change : changes) {
            const std::string group =
                std::string(ticket::to_string(change.kind)) + ' ' +
                std::string(name_of(change.change));
            if (++lines[group] <= max_lines_per_group) {
                out_ << "  " << name_of(change.change) << ' '
                     << ticket::to_string(change.kind) << '/' << change.name
                     << '\n';
            }
        }
        for (const auto& [group, count] : lines) {
            if (count > max_lines_per_group) {
                out_ << "  " << group << ": " << count - max_lines_per_group
                     << " more\n";
            }
        }
    }

    static std::string_view name_of(ticket::change_kind c)
    {
        switch (c) {
        case ticket::change_kind::created:
            return "creates";
        case ticket::change_kind::changed:
            return "changes";
        case ticket::change_kind::deleted:
            return "deletes";
        case ticket::change_kind::unchanged:
            return "keeps";
        case ticket::change_kind::superseded:
            return "is too old for";
        }
        return "";
    }

    /// Changes listed for each kind; further ones are only counted.
    static constexpr std::size_t max_lines_per_group = 20;

    counters counters_;
    ticket::ticket_book book_;
    std::ostream& out_;
    std::ostream& err_;
};

} // namespace

bool check(const check_command& c, std::ostream& out, std::ostream& err)
{
    bool valid = true;
    if (c.settings_file) {
        valid = check_settings(*c.settings_file, out, err);
    }
    ticket_checker tickets(out, err);
    for (const std::string& file : c.ticket_files) {
        valid = tickets.check(file) && valid;
    }
    return valid;
}

} // namespace lovagegate::cli
