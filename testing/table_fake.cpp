#include "testing/table_fake.h"

namespace bramleygrade {

namespace {

std::uint64_t versionOf(const table_fake &table, const std::string &key)
{
    const auto row = table.rows.find(key);
    return row == table.rows.end() ? 0 : row->second.version;
}

bool areConditionsMet(const table_fake &table, const table_request &request)
{
    for (const auto &condition : request.conditions) {
        if (versionOf(table, condition->key) != condition->version) {
            return false;
        }
    }
    return true;
}

void addRow(const table_fake &table, const std::string &key, table_response &response)
{
    const auto found = table.rows.find(key);
    if (found == table.rows.end()) {
        return;
    }
    auto row = std::make_unique<table_row>();
    row->key = key;
    row->version = found->second.version;
    row->value = found->second.value;
    response.rows.push_back(std::move(row));
}

} // namespace

table_response executeTransaction(table_fake &table, const table_request &request)
{
    table_response response;
    response.committed = areConditionsMet(table, request);
    if (response.committed && !request.writes.empty()) {
        for (const auto &write : request.writes) {
            if (write->erase) {
                table.rows.erase(write->key);
            } else {
                table.rows[write->key] = {++table.newestVersion, write->value};
            }
        }
    }
    for (const auto &condition : request.conditions) {
        addRow(table, condition->key, response);
    }
    for (const std::string &key : request.reads) {
        addRow(table, key, response);
    }
    for (const std::string &prefix : request.prefixes) {
        for (auto row = table.rows.lower_bound(prefix);
             row != table.rows.end() && row->first.compare(0, prefix.size(), prefix) == 0; ++row) {
            addRow(table, row->first, response);
        }
    }
    return response;
}

} // namespace bramleygrade
