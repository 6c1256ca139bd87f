#define BOOST_TEST_MODULE interference
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>
#include <set>

#include "cell/interference/interference.h"

using namespace bramleygrade;
using namespace bramleygrade::cell;

namespace {

/// `victim` takes `factor` times as long beside `other`, up to a time after the start.
struct clash
{
    int victim = 0;
    int other = 0;
    double factor = 1;
    timestamp until = distantFuture;
};

/// Runs of jobs on workers whose neighbours come and go. Spreads are standard deviations of
/// natural logarithms.
struct world
{
    const char *name = "";
    int images = 8;
    int workers = 40;
    int jobs = 20'000;
    int tasksPerJob = 3;
    /// Error of the declared time, shared by the tasks of a job, and variation between the tasks.
    double jobSpread = 0.35;
    double taskSpread = 0.2;
    /// Share of the runs that take seven times as long.
    double stragglers = 0.03;
    double workerSpread = 0;
    /// Run times of all images swing by this, together with the number of neighbours.
    double swing = 0;
    /// Slowdown by a fully loaded worker.
    double loadEffect = 0;
    /// Images that are always on the same workers.
    int fixedImages = 0;
    /// Image 2 accompanies image 1 in this share of the cases.
    double companionShare = 0;
    /// Probability that an image is beside a run.
    double density = 0.3;
    double runsPerSecond = 200;
    std::vector<clash> clashes;
};

std::ostream &operator<<(std::ostream &out, const world &given)
{
    return out << given.name;
}

std::string imageName(int image)
{
    return "image-" + std::to_string(image);
}

struct played_world
{
    interference_table table;
    std::vector<named_pair> changes;
    timestamp now = 1'000 * second;
    timestamp startedAt = now;
};

/// The neighbours on one worker; each run finds about a fifth of them replaced.
struct played_worker
{
    double speed = 0;
    image_set beside = 0;
    exposure_means means;
};

class player
{
public:
    player(const world &settings, std::uint64_t seed)
        : m_world(settings)
        , m_random(seed)
        , m_workers(static_cast<std::size_t>(settings.workers))
    {
        for (played_worker &worker : m_workers) {
            worker.speed = m_world.workerSpread * m_normal(m_random);
            for (int image = 0; image < m_world.images; ++image) {
                worker.beside |= uniform() < m_world.density ? imageBit(image) : 0;
            }
        }
        for (int image = 0; image < m_world.images; ++image) {
            countStart(m_played.table, imageName(image), m_played.now);
        }
    }

    played_world play()
    {
        for (int job = 0; job < m_world.jobs; ++job) {
            playJob(std::uniform_int_distribution<int>(0, m_world.images - 1)(m_random));
        }
        return std::move(m_played);
    }

private:
    double uniform() { return std::uniform_real_distribution<double>()(m_random); }
    timestamp elapsed() const { return m_played.now - m_played.startedAt; }
    double phase() const
    {
        constexpr double period = 120;
        return std::sin(static_cast<double>(elapsed()) / second / period * 6.283);
    }

    void changeNeighbours(played_worker &worker)
    {
        const double density = m_world.density * (1 + (m_world.swing > 0 ? 0.8 * phase() : 0));
        for (int image = m_world.fixedImages; image < m_world.images; ++image) {
            if (uniform() < 0.2) {
                const bool isCompanion = image == 2 && uniform() < m_world.companionShare;
                const bool present =
                    isCompanion ? (worker.beside & imageBit(1)) != 0 : uniform() < density;
                worker.beside &= ~imageBit(image);
                worker.beside |= present ? imageBit(image) : 0;
            }
        }
    }

    void playJob(int image)
    {
        const double jobError = m_world.jobSpread * m_normal(m_random);
        for (int task = 0; task < m_world.tasksPerJob; ++task) {
            played_worker &worker = m_workers[m_random() % m_workers.size()];
            changeNeighbours(worker);
            finished_run run;
            run.weight = 1.0 / m_world.tasksPerJob;
            double count = 0;
            for (int other = 0; other < m_world.images; ++other) {
                const bool beside = (worker.beside & imageBit(other)) != 0;
                run.exposure[static_cast<std::size_t>(other)] = beside ? 1 : 0;
                count += beside ? 1 : 0;
            }
            // The demand of the neighbours varies, so that the load follows from their number only
            // in part.
            run.exposure[loadColumn] = 0.5 * count / m_world.images + 0.5 * uniform();
            run.ratio = jobError + worker.speed + m_world.taskSpread * m_normal(m_random)
                + m_world.loadEffect * run.exposure[loadColumn] + m_world.swing * phase()
                + (uniform() < m_world.stragglers ? std::log(7.0) : 0);
            for (const clash &given : m_world.clashes) {
                const bool slows = given.victim == image && elapsed() < given.until
                    && (worker.beside & imageBit(given.other)) != 0;
                run.ratio += slows ? std::log(given.factor) : 0;
            }
            m_played.now += static_cast<microseconds>(second / m_world.runsPerSecond);
            addRun(m_played.table.images[static_cast<std::size_t>(image)].evidence, worker.means,
                   run, m_played.now);
            for (const named_pair &change : evaluateDue(m_played.table, m_played.now)) {
                m_played.changes.push_back(change);
            }
        }
    }

    world m_world;
    std::mt19937_64 m_random;
    std::normal_distribution<double> m_normal;
    std::vector<played_worker> m_workers;
    played_world m_played;
};

std::set<std::pair<std::string, std::string>> noticedPairs(const interference_table &table)
{
    std::set<std::pair<std::string, std::string>> pairs;
    for (const named_pair &pair : listPairs(table, 10'000)) {
        if (pair.estimate.noticed) {
            pairs.emplace(pair.image, pair.other);
        }
    }
    return pairs;
}

world withClashes(const char *name, const std::vector<clash> &clashes)
{
    world given;
    given.name = name;
    given.clashes = clashes;
    return given;
}

std::vector<world> worldsWithClashes()
{
    std::vector<world> worlds {
        withClashes("an image takes twice as long", {{0, 1, 2.0}}),
        withClashes("an image takes 1.5 times as long", {{0, 1, 1.5}}),
        withClashes("both images are slowed", {{0, 1, 1.6}, {1, 0, 1.6}}),
        withClashes("an image is slowed by its own runs", {{3, 3, 1.8}}),
        withClashes("an image accompanies the one that slows", {{0, 1, 2.0}}),
        withClashes("workers differ in speed", {{0, 1, 1.6}}),
        withClashes("load swings", {{0, 1, 1.8}}),
        withClashes("sixty-four images", {{0, 1, 2.0}, {7, 9, 2.0}}),
    };
    worlds[4].companionShare = 0.7;
    worlds[5].workerSpread = 0.4;
    worlds[6].swing = 0.3;
    worlds[7].images = 64;
    worlds[7].jobs = 130'000;
    worlds[7].runsPerSecond = 1'000;
    worlds[7].density = 0.15;
    return worlds;
}

std::vector<world> worldsWithoutClashes()
{
    std::vector<world> worlds(7);
    worlds[0].name = "independent runs";
    worlds[1].name = "errors shared by the forty tasks of a job";
    worlds[1].tasksPerJob = 40;
    worlds[1].jobSpread = 0.6;
    worlds[2].name = "services that never move, on workers of different speeds";
    worlds[2].fixedImages = 6;
    worlds[2].workerSpread = 0.5;
    worlds[2].workers = 12;
    worlds[3].name = "run times and neighbours swing together";
    worlds[3].swing = 0.3;
    worlds[4].name = "loaded workers are slower";
    worlds[4].loadEffect = 0.7;
    worlds[5].name = "effects below the threshold";
    worlds[5].clashes = {{0, 1, 1.08}, {2, 3, 1.08}, {4, 5, 1.08}};
    worlds[6].name = "many stragglers beside rare images";
    worlds[6].stragglers = 0.08;
    worlds[6].density = 0.1;
    for (world &given : worlds) {
        given.images = 64;
        given.jobs = 60'000;
        given.runsPerSecond = 500;
    }
    worlds[1].images = 8; // so that each has enough jobs to be noticed
    worlds[1].jobs = 12'000;
    worlds[1].runsPerSecond = 2'000;
    worlds[6].jobs = 100'000;
    worlds[6].runsPerSecond = 2'000;
    return worlds;
}

} // namespace

// Load: images that slow each other down, with declared times that are off by a third and 3 % of
// stragglers. Exactly the clashing pairs are noticed.
BOOST_DATA_TEST_CASE(clashing_pair_is_noticed, boost::unit_test::data::make(worldsWithClashes()),
                     given)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            const played_world played = player(given, seed).play();
            std::set<std::pair<std::string, std::string>> expected;
            for (const clash &pair : given.clashes) {
                expected.emplace(imageName(pair.victim), imageName(pair.other));
            }
            BOOST_TEST((noticedPairs(played.table) == expected));
            for (const named_pair &pair : listPairs(played.table, expected.size())) {
                BOOST_TEST_MESSAGE(given.name << ": effect " << pair.estimate.effect << " +- "
                                              << pair.estimate.standardError);
                BOOST_TEST(std::abs(pair.estimate.effect - std::log(given.clashes[0].factor))
                           < 0.15);
            }
        }
    }
}

// Bound: over all 64 x 64 pairs, an evaluation has a false positive with a probability below 5e-6.
// Each of these 21 histories has at most 2,400 evaluations of one image, or 38 of all pairs, so
// that less than 0.005 false positives are expected; none may occur.
BOOST_DATA_TEST_CASE(false_pair_without_clashes,
                     boost::unit_test::data::make(worldsWithoutClashes()), given)
{
    for (const std::uint64_t seed : {11, 12, 13}) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            const played_world played = player(given, seed).play();
            BOOST_TEST(played.changes.empty());
            for (const named_pair &pair : listPairs(played.table, 1)) {
                BOOST_TEST_MESSAGE(given.name << ": most evident " << pair.estimate.effect << " +- "
                                              << pair.estimate.standardError << " from "
                                              << pair.estimate.jobsBeside << " of "
                                              << pair.estimate.jobs);
            }
        }
    }
}

// The clash ends after 600 s. The evidence halves in 600 s, so that 1.8 times (0.59) falls below
// 5 % (0.049) within four half-lives.
BOOST_AUTO_TEST_CASE(pair_is_kept_after_its_clash_has_ended)
{
    world given = withClashes("clash ends", {{0, 1, 1.8, 600 * second}});
    given.runsPerSecond = 60;
    given.jobs = 65'000;
    const played_world played = player(given, 5).play();
    BOOST_REQUIRE(played.changes.size() == 2U);
    BOOST_TEST(played.changes.front().estimate.noticed);
    BOOST_TEST(!played.changes.back().estimate.noticed);
    BOOST_TEST(played.changes.back().estimate.noticedAt - played.startedAt < 3'000 * second);
    BOOST_TEST(played.table.noticedPairs == 0);
    BOOST_TEST(clashesOf(played.table, imageName(0)) == 0U);
}

// A pair that is kept apart gives no more evidence; what is known fades, and the pair is tried
// again.
BOOST_AUTO_TEST_CASE(pair_is_kept_though_it_never_meets)
{
    world given = withClashes("clash", {{0, 1, 1.8}});
    played_world played = player(given, 6).play();
    BOOST_REQUIRE(played.table.noticedPairs == 1);
    BOOST_TEST(clashesOf(played.table, imageName(0)) == imageBit(1));
    BOOST_TEST(clashesOf(played.table, imageName(1)) == imageBit(0));
    std::size_t changes = 0;
    for (timestamp passed = 0; passed < 10'800 * second; passed += second) {
        changes += evaluateDue(played.table, played.now + passed).size();
    }
    BOOST_TEST(changes == 1U);
    BOOST_TEST(played.table.noticedPairs == 0);
}

// Memory: a caller that names a new image with each job must not make the table grow, nor displace
// the frequent images.
BOOST_AUTO_TEST_CASE(unbounded_table_of_images)
{
    interference_table table;
    timestamp now = 1'000 * second;
    for (int round = 0; round < 30'000; ++round) {
        now += 10 * millisecond;
        countStart(table, "unique-" + std::to_string(round) + std::string(10'000, 'x'), now);
        countStart(table, imageName(round % 50), now);
    }
    BOOST_TEST(table.images.size() == 64U);
    BOOST_TEST(table.indices.size() == 64U);
    BOOST_TEST(table.others.size() <= 256U);
    int frequent = 0;
    for (int image = 0; image < 50; ++image) {
        frequent += table.indices.count(imageName(image)) > 0 ? 1 : 0;
    }
    BOOST_TEST(frequent == 50);
    for (const auto &[name, index] : table.indices) {
        BOOST_TEST(name.size() <= 128U);
        BOOST_TEST(table.images[static_cast<std::size_t>(index)].name == name);
    }
}

// The index of an image that is no longer tracked is given to another one; what was known of the
// former must not be taken for the latter's.
BOOST_AUTO_TEST_CASE(evidence_of_a_replaced_image)
{
    world given = withClashes("clash", {{0, 1, 1.8}});
    given.images = 64;
    given.jobs = 130'000;
    given.runsPerSecond = 1'000;
    given.density = 0.15;
    played_world played = player(given, 7).play();
    BOOST_REQUIRE(played.table.noticedPairs == 1);
    timestamp now = played.now;
    for (int image = 0; image < 64; ++image) {
        for (int start = 0; start < (image == 1 ? 0 : 10); ++start) {
            countStart(played.table, imageName(image), now);
        }
    }
    image_lookup found;
    for (int start = 0; start < 5 && !found.replaced; ++start) {
        found = countStart(played.table, "newcomer", now);
    }
    BOOST_REQUIRE(found.replaced);
    BOOST_TEST(found.image == 1);
    BOOST_REQUIRE(found.forgotten.size() == 1U);
    BOOST_TEST(found.forgotten.front().other == imageName(1));
    BOOST_TEST(played.table.noticedPairs == 0);
    BOOST_TEST(played.table.images[0].evidence.exposure[1] == 0);
    BOOST_TEST(played.table.images[1].evidence.jobs == 0);
    BOOST_TEST(clashesOf(played.table, imageName(0)) == 0U);
}

// A run sees what was beside it when the worker confirmed its start, of its own image only another
// run.
BOOST_AUTO_TEST_CASE(neighbours_of_a_run)
{
    worker_images worker;
    const task_id first {"a", 0, 0, 0};
    const task_id second {"a", 0, 0, 1};
    const task_id other {"b", 0, 0, 0};
    beginPresence(worker, first, 3);
    BOOST_TEST(!exposureOf(worker, first));
    confirmPresence(worker, first, 0.25);
    BOOST_TEST(exposureOf(worker, first)->at(3) == 0);
    BOOST_TEST(exposureOf(worker, first)->at(loadColumn) == 0.25);
    beginPresence(worker, other, 5);
    beginPresence(worker, second, 3);
    confirmPresence(worker, second, 0.75);
    BOOST_TEST(exposureOf(worker, second)->at(3) == 1);
    BOOST_TEST(exposureOf(worker, second)->at(5) == 1);
    BOOST_TEST(exposureOf(worker, first)->at(5) == 0);
    removeImage(worker, 5);
    BOOST_TEST(exposureOf(worker, second)->at(5) == 0);
    BOOST_TEST(worker.present == imageBit(3));
    endPresence(worker, other);
    endPresence(worker, first);
    BOOST_TEST(worker.present == imageBit(3));
    endPresence(worker, second);
    BOOST_TEST(worker.present == 0U);
    BOOST_TEST(worker.runs.empty());
}
