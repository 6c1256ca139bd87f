#include "testing/history_run.h"

namespace bramleygrade {

void history_run::scheduleFaults()
{
    const timestamp from = historyStart + warmUpTime;
    const timestamp until = end();
    for (std::uint64_t count = m_cell.draw(3); count > 0; --count) {
        const timestamp start = randomTime(from, until);
        m_cell.tableOutages.push_back(
            {start, start + 5 * second + static_cast<timestamp>(m_cell.draw(35 * second))});
    }
    scheduleEntryFaults(from, until);
    scheduleWorkerFaults(from, until);
}

void history_run::scheduleEntryFaults(timestamp from, timestamp until)
{
    for (std::uint64_t count = m_cell.draw(4); count > 0; --count) {
        const int entry = randomEntry();
        m_cell.at(randomTime(from, until), [this, entry] {
            const microseconds span = second + static_cast<microseconds>(m_cell.draw(14 * second));
            trace("pause entry " + std::to_string(entry + 1) + " for "
                  + std::to_string(span / millisecond));
            m_cell.pauseEntry(entry, span);
        });
    }
    for (std::uint64_t count = m_cell.draw(3); count > 0; --count) {
        const int entry = randomEntry();
        m_cell.at(randomTime(from, until), [this, entry] {
            trace("kill entry " + std::to_string(entry + 1));
            m_cell.killEntry(entry);
            if (m_cell.draw(3) == 0) {
                return;
            }
            m_cell.after(second + static_cast<microseconds>(m_cell.draw(15 * second)),
                         [this, entry] {
                             trace("start entry " + std::to_string(entry + 1));
                             m_cell.startEntry(entry);
                         });
        });
    }
    if (m_cell.draw(4) == 0) {
        const int entry = randomEntry();
        m_cell.at(randomTime(from, until), [this, entry] {
            trace("drain entry " + std::to_string(entry + 1));
            operator_request drain;
            drain.action = operator_action::drain;
            m_cell.deliver(entry, drain);
        });
    }
    for (cell_entry &entry : m_cell.entries()) {
        for (std::vector<fault_window> *cuts : {&entry.tablePartitions, &entry.peerPartitions}) {
            for (std::uint64_t count = m_cell.draw(3); count > 0; --count) {
                const timestamp start = randomTime(from, until);
                cuts->push_back(
                    {start, start + second + static_cast<timestamp>(m_cell.draw(20 * second))});
            }
        }
    }
}

void history_run::scheduleWorkerFaults(timestamp from, timestamp until)
{
    for (std::size_t index = 0; index < m_cell.workers().size(); ++index) {
        const int worker = static_cast<int>(index);
        cell_worker &fake = m_cell.workers()[index];
        if (m_cell.draw(4) == 0) {
            const timestamp start = randomTime(from, until);
            fake.silentWindows.push_back(
                {start, start + second + static_cast<timestamp>(m_cell.draw(15 * second))});
        }
        if (m_cell.draw(10) == 0) {
            m_cell.at(randomTime(from, until),
                      [this, worker] { m_cell.markWorkerLeaving(worker); });
        }
        if (m_cell.draw(12) == 0) {
            m_cell.at(randomTime(from, until), [this, worker] { m_cell.killWorker(worker); });
        }
        fake.tasks.failsTasks = m_cell.draw(12) == 0;
        fake.failsRequests = m_cell.draw(12) == 0;
    }
}

} // namespace bramleygrade
