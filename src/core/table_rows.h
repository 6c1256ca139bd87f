#pragma once

#include <memory>
#include <string>

#include "bramleygrade/json_codec.h"
#include "bramleygrade/values.h"

/// \file
/// Keys of the rows that the system keeps in the table service, and helpers to build requests.

namespace bramleygrade {

constexpr char cellHeadKey[] = "head/cell";
constexpr char documentHeadKey[] = "head/documents";
constexpr char memberPrefix[] = "member/";
constexpr char shardPrefix[] = "shard/";
constexpr char documentPrefix[] = "document/";
constexpr char jobPrefix[] = "job/";

inline std::string memberKey(const std::string &name)
{
    return memberPrefix + name;
}
inline std::string shardKey(const std::string &shard)
{
    return shardPrefix + shard;
}
inline std::string documentKey(const std::string &service)
{
    return documentPrefix + service;
}
/// Keys of jobs contain their home shard, so that a new home reads all of its jobs with one prefix.
inline std::string jobHomePrefix(const std::string &homeShard)
{
    return jobPrefix + homeShard + "/";
}
inline std::string jobKey(const std::string &homeShard, const std::string &job)
{
    return jobHomePrefix(homeShard) + job;
}

inline void addCondition(table_request &request, std::string key, std::uint64_t version)
{
    auto condition = std::make_unique<row_condition>();
    condition->key = std::move(key);
    condition->version = version;
    request.conditions.push_back(std::move(condition));
}

template <typename Value>
void addWrite(table_request &request, std::string key, const Value &value)
{
    auto write = std::make_unique<row_write>();
    write->key = std::move(key);
    write->value = toJson(value);
    request.writes.push_back(std::move(write));
}

inline void addErase(table_request &request, std::string key)
{
    auto write = std::make_unique<row_write>();
    write->key = std::move(key);
    write->erase = true;
    request.writes.push_back(std::move(write));
}

/// The row with this key, or null where the answer holds none.
inline const table_row *findRow(const std::vector<std::unique_ptr<table_row>> &rows,
                                std::string_view key)
{
    for (const auto &row : rows) {
        if (row->key == key) {
            return row.get();
        }
    }
    return nullptr;
}

} // namespace bramleygrade
