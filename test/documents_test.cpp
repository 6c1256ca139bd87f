#define BOOST_TEST_MODULE documents
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "core/documents.h"
#include "core/table_rows.h"

using namespace bramleygrade;
namespace data = boost::unit_test::data;

namespace {

constexpr timestamp now = 1000 * second;

service_document documentOf(const std::string &service, const std::string &domain = "domain-a")
{
    service_document document;
    document.service = service;
    document.team = "team";
    document.allowed_domains = {domain};
    return document;
}

std::unique_ptr<table_row> rowOf(const std::string &key, std::uint64_t version,
                                 const std::string &value)
{
    auto row = std::make_unique<table_row>();
    row->key = key;
    row->version = version;
    row->value = value;
    return row;
}

std::unique_ptr<table_row> documentRow(const std::string &service, std::uint64_t sequence)
{
    document_row row;
    row.sequence = sequence;
    row.document = std::make_unique<service_document>(documentOf(service));
    return rowOf(documentKey(service), sequence * 10, toJson(row));
}

std::unique_ptr<table_row> headRow(std::uint64_t sequence, const std::vector<std::string> &recent)
{
    document_head head;
    head.sequence = sequence;
    head.recent_services = recent;
    return rowOf(documentHeadKey, sequence * 10 + 1, toJson(head));
}

document_state loadedState()
{
    document_state state;
    std::vector<std::unique_ptr<table_row>> rows;
    rows.push_back(headRow(1, {"a"}));
    rows.push_back(documentRow("a", 1));
    updateDocuments(state, rows, true, now);
    return state;
}

} // namespace

struct invalid_document
{
    const char *field;
    service_document document;
};

std::ostream &operator<<(std::ostream &out, const invalid_document &invalid)
{
    return out << invalid.field;
}

static std::vector<invalid_document> invalidDocuments()
{
    std::vector<invalid_document> invalid;
    invalid.push_back({"service:", documentOf("")});
    invalid.push_back({"service:", documentOf("a/b")});
    invalid.push_back({"team:", documentOf("a")});
    invalid.back().document.team = "";
    invalid.push_back({"allowed_domains:", documentOf("a")});
    invalid.back().document.allowed_domains.clear();
    invalid.push_back({"allowed_domains:", documentOf("a", "nowhere")});
    invalid.push_back({"request_timeout_ms:", documentOf("a")});
    invalid.back().document.request_timeout_ms = 0;
    invalid.push_back({"quotas", documentOf("a")});
    invalid.back().document.quota_cpu_millis = -1;
    return invalid;
}

BOOST_DATA_TEST_CASE(an_invalid_document_is_rejected_with_the_name_of_its_field,
                     data::make(invalidDocuments()), invalid)
{
    cell_state cell;
    cell.instances["worker-1"].rack = "1";
    cell.instances["worker-1"].failure_domain = "domain-a";
    BOOST_TEST(validateDocument(invalid.document, cell).find(invalid.field) != std::string::npos,
               validateDocument(invalid.document, cell));
    BOOST_TEST(validateDocument(documentOf("a"), cell) == "");
}

BOOST_AUTO_TEST_CASE(documents_are_fresh_only_for_the_freshness_period_after_a_reading)
{
    const document_state state = loadedState();
    BOOST_TEST(areDocumentsFresh(state, now));
    BOOST_TEST(!areDocumentsFresh(state, now + documentFreshnessPeriod));
}

BOOST_AUTO_TEST_CASE(a_partial_reading_is_ignored_unless_it_holds_every_change_up_to_its_head)
{
    document_state state = loadedState();
    std::vector<std::unique_ptr<table_row>> rows;
    rows.push_back(headRow(3, {"b", "a", "a"}));
    rows.push_back(documentRow("a", 2));
    updateDocuments(state, rows, false, now + second);
    BOOST_TEST(state.head.sequence == 1u);
    rows.push_back(documentRow("b", 3));
    updateDocuments(state, rows, false, now + second);
    BOOST_TEST(state.head.sequence == 3u);
    BOOST_TEST(state.documents.at("a").row.sequence == 2u);
}

BOOST_AUTO_TEST_CASE(a_late_reading_never_reverts_a_document)
{
    document_state state = loadedState();
    std::vector<std::unique_ptr<table_row>> rows;
    rows.push_back(headRow(2, {"a", "a"}));
    rows.push_back(documentRow("a", 2));
    updateDocuments(state, rows, false, now + second);
    std::vector<std::unique_ptr<table_row>> old;
    old.push_back(headRow(1, {"a"}));
    old.push_back(documentRow("a", 1));
    updateDocuments(state, old, true, now + 2 * second);
    BOOST_TEST(state.documents.at("a").row.sequence == 2u);
    BOOST_TEST(state.freshUntil == now + second + shortenedByClockError(documentFreshnessPeriod));
}

BOOST_AUTO_TEST_CASE(an_entry_that_missed_more_than_the_head_lists_reads_all_documents)
{
    const document_state state = loadedState();
    document_head newest;
    newest.sequence = 50;
    newest.recent_services = {"a", "b"};
    table_request request;
    addDocumentReads(state, newest, request);
    BOOST_TEST(request.prefixes.size() == 1u);
    newest.sequence = 3;
    table_request partial;
    addDocumentReads(state, newest, partial);
    BOOST_TEST(partial.prefixes.empty());
    BOOST_TEST(partial.reads.size() == 3u);
}
