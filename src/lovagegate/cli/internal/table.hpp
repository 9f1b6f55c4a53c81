#ifndef LOVAGEGATE_CLI_INTERNAL_TABLE_HPP
#define LOVAGEGATE_CLI_INTERNAL_TABLE_HPP

#include <initializer_list>
#include <string>
#include <vector>

namespace lovagegate::cli::internal {

/// Formats rows of text in aligned columns.
class table
{
public:
    /// @param head titles of the columns
    table(std::initializer_list<std::string> head);

    /// @param row text of each column; missing columns are empty
    void add(std::vector<std::string> row);

    /// @return all rows, columns two spaces apart
    [[nodiscard]] std::string text() const;

private:
    std::vector<std::vector<std::string>> rows_;
};

} // namespace lovagegate::cli::internal

#endif
