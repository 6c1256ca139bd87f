/// Minimal embedding sample: drives one decision core by hand. The core reads the table and then
/// tries to join the cell.

#include <iostream>

#include "bramleygrade/decision_core.h"
#include "bramleygrade/inspection.h"
#include "bramleygrade/json_codec.h"

using namespace bramleygrade;

int main()
{
    decision_core core({"entry-1", "1", "domain-a", "127.0.0.1", 7002, 42});
    timestamp now = 1000 * second;
    for (int round = 0; round < 3; ++round) {
        for (const command &output : step(core, tick {}, now)) {
            const auto *transaction = std::get_if<table_command>(&output);
            if (transaction == nullptr) {
                continue;
            }
            std::cout << "table request: " << toJson(*transaction->request) << '\n';
            // Simulates an empty table that commits every transaction.
            table_result result;
            result.operation = transaction->operation;
            result.outcome = table_outcome::committed;
            step(core, result, now + millisecond);
        }
        now += second;
    }
    std::cout << describeStatus(core, now);
    return 0;
}
