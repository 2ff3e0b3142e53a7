/*
 * At most once and true refusals under failures that meet: seeded kills,
 * pauses, dropped answers and lost writes while callers book.
 */
#include <gtest/gtest.h>
#include <signal.h>

#include <chrono>
#include <future>
#include <random>
#include <thread>

#include "at_most_once.h"

using namespace e2e;

namespace
{

/* What one caller did: unique bookings, some with a key, which it repeats. */
struct CallerLog {
	std::vector<std::pair<std::string, Answer>> answers;
};

class AtMostOnceFaults : public AtMostOnce,
			 public ::testing::WithParamInterface<uint32_t>
{
      protected:
	CallerLog run_caller(uint32_t caller, uint32_t seed)
	{
		std::mt19937 random(seed * 100 + caller);
		CallerLog tally;

		for (uint32_t i = 0; i < 12; i++) {
			std::string id = std::to_string(caller) + "-" +
			    std::to_string(i);
			std::string key = random() % 2 ? "key-" + id : "";
			uint32_t calls = key.empty() ? 1 : 3;
			for (uint32_t j = 0; j < calls; j++)
				tally.answers.emplace_back(id,
				    book(random() % 2, id, key));
		}
		return tally;
	}

	void inject(uint32_t seed)
	{
		std::mt19937 random(seed);

		for (uint32_t i = 0; i < 12; i++) {
			size_t service = random() % services.size();
			size_t daemon = random() % 2;
			auto &endpoint = *fleet.endpoints[services[service]];
			switch (random() % 6) {
			case 0:
				set_service(0, "drop_before=2");
				break;
			case 1:
				set_service(0, "drop_after=2");
				break;
			case 2:
				set_platform("lose_writes=2");
				break;
			case 3:
				pause(endpoint);
				break;
			case 4:
				pause(*fleet.daemons[daemon].process);
				break;
			default:
				set_service(0, "delay_ms=100");
				break;
			}
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(random() % 200));
		}
	}

	static void pause(const Process &process)
	{
		process.signal(SIGSTOP);
		std::this_thread::sleep_for(std::chrono::milliseconds(400));
		process.signal(SIGCONT);
	}

	/* Kills one daemon and one service for good, mid-way. */
	void kill_both(uint32_t seed)
	{
		std::this_thread::sleep_for(
		    std::chrono::milliseconds(300 + seed * 50));
		fleet.daemons[1].process->signal(SIGKILL);
		fleet.endpoints[services[1]]->signal(SIGKILL);
	}

	void check(const CallerLog &tally)
	{
		std::map<std::string, uint32_t> not_run, answered;

		for (const auto &[id, answer] : tally.answers) {
			auto run = answer.headers.find("bamboorudder-run");
			if (answer.status == 201 && answer.whole)
				answered[id]++;
			if (run != answer.headers.end() &&
			    run->second == "not-run")
				not_run[id]++;
			EXPECT_TRUE(answer.status == 0 || answer.status < 400 ||
			    run != answer.headers.end())
			    << answer.body;
		}
		for (const auto &[id, answer] : tally.answers) {
			uint32_t count = runs(id), calls = 0;
			for (const auto &other : tally.answers)
				calls += other.first == id;
			EXPECT_LE(count, 1u) << id;
			if (answered[id] > 0) {
				EXPECT_EQ(count, 1u) << id;
			}
			/* all its calls say that they were not run */
			if (not_run[id] == calls) {
				EXPECT_EQ(count, 0u) << id;
			}
		}
	}
};

} // namespace

TEST_P(AtMostOnceFaults, NothingRunsTwiceAndNoRefusalIsFalse)
{
	std::vector<std::future<CallerLog>> callers;
	uint32_t seed = GetParam();

	start(2, 3, 8);
	for (uint32_t i = 0; i < 8; i++)
		callers.push_back(std::async(std::launch::async,
		    [=] { return run_caller(i, seed); }));
	std::thread killer([=] { kill_both(seed); });
	inject(seed);
	killer.join();
	for (auto &caller : callers)
		check(caller.get());
}

INSTANTIATE_TEST_SUITE_P(Seeds, AtMostOnceFaults, ::testing::Range(1u, 5u));
