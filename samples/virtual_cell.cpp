/// Embedding sample with three decision cores that run on the test fakes in virtual time and serve
/// one request.

#include <iostream>

#include "testing/cell_fake.h"

using namespace bramleygrade;

int main()
{
    cell_options options;
    options.entries = 3;
    cell_fake cell(options);
    cell.onAnswer = [](int entry, const answer_caller &answered) {
        std::cout << "entry " << entry + 1 << " answers: " << answered.outcome->body << " from "
                  << answered.outcome->worker << '\n';
    };
    for (int entry = 0; entry < options.entries; ++entry) {
        cell.startEntry(entry);
    }
    cell.at(historyStart + 8 * second, [&cell] {
        service_document document;
        document.team = "salon-a";
        applyDocumentForAllDomains(cell, std::move(document));
    });
    cell.at(historyStart + 14 * second, [&cell] {
        caller_request request;
        request.handle = 1;
        request.service = "booking";
        request.team = "salon-a";
        request.deadline = cell.localTime(1) + second;
        request.body = "a chair at ten";
        cell.deliver(1, request);
    });
    cell.run(historyStart + 16 * second);
    return cell.runs.size() == 1 ? 0 : 1;
}
