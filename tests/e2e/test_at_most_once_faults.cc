/*
 * Requests must run at most once, and requests reported as not run must not
 * have run, under combined failures: processes are killed and paused, responses
 * are dropped and writes are lost while callers send bookings. The sequence of
 * failures is seeded.
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

/* Responses to a caller's bookings by booking id. Bookings with an idempotency
 * key are sent several times. */
struct CallerLog {
	std::vector<std::pair<std::string, Response>> responses;
};

class AtMostOnceFaults : public AtMostOnce,
			 public ::testing::WithParamInterface<uint32_t>
{
      protected:
	CallerLog run_caller(uint32_t caller, uint32_t seed)
	{
		std::mt19937 random(seed * 100 + caller);
		CallerLog log;

		for (uint32_t i = 0; i < 12; i++) {
			std::string id = std::to_string(caller) + "-" +
			    std::to_string(i);
			std::string key = random() % 2 ? "key-" + id : "";
			uint32_t requests_count = key.empty() ? 1 : 3;
			for (uint32_t j = 0; j < requests_count; j++)
				log.responses.emplace_back(id,
				    book(random() % 2, id, key));
		}
		return log;
	}

	void inject_faults(uint32_t seed)
	{
		std::mt19937 random(seed);

		for (uint32_t i = 0; i < 12; i++) {
			size_t service = random() % services.size();
			size_t daemon = random() % 2;
			auto &endpoint = *fleet.endpoints[services[service]];
			switch (random() % 6) {
			case 0:
				configure_service(0, "drop_before=2");
				break;
			case 1:
				configure_service(0, "drop_after=2");
				break;
			case 2:
				inject_platform_fault("lose_writes=2");
				break;
			case 3:
				pause_briefly(endpoint);
				break;
			case 4:
				pause_briefly(*fleet.daemons[daemon].process);
				break;
			default:
				configure_service(0, "delay_ms=100");
				break;
			}
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(random() % 200));
		}
	}

	static void pause_briefly(const Process &process)
	{
		process.signal(SIGSTOP);
		std::this_thread::sleep_for(std::chrono::milliseconds(400));
		process.signal(SIGCONT);
	}

	/* Kills a daemon and a service in the middle of the test. */
	void kill_daemon_and_service(uint32_t seed)
	{
		std::this_thread::sleep_for(
		    std::chrono::milliseconds(300 + seed * 50));
		fleet.daemons[1].process->signal(SIGKILL);
		fleet.endpoints[services[1]]->signal(SIGKILL);
	}

	void check_log(const CallerLog &log)
	{
		std::map<std::string, uint32_t> not_run, successes;

		for (const auto &[id, response] : log.responses) {
			auto run = response.headers.find("bamboorudder-run");
			if (response.status == 201 && response.complete)
				successes[id]++;
			if (run != response.headers.end() &&
			    run->second == "not-run")
				not_run[id]++;
			EXPECT_TRUE(response.status == 0 ||
			    response.status < 400 ||
			    run != response.headers.end())
			    << response.body;
		}
		for (const auto &[id, response] : log.responses) {
			uint32_t count = run_count(id), requests_count = 0;
			for (const auto &other : log.responses)
				requests_count += other.first == id;
			EXPECT_LE(count, 1u) << id;
			if (successes[id] > 0) {
				EXPECT_EQ(count, 1u) << id;
			}
			/* All of its requests were reported as not run. */
			if (not_run[id] == requests_count) {
				EXPECT_EQ(count, 0u) << id;
			}
		}
	}
};

} // namespace

TEST_P(AtMostOnceFaults, NoRequestRunsTwiceAndNotRunIsReportedCorrectly)
{
	std::vector<std::future<CallerLog>> callers;
	uint32_t seed = GetParam();

	start_fleet(2, 3, 8);
	for (uint32_t i = 0; i < 8; i++)
		callers.push_back(std::async(std::launch::async,
		    [=] { return run_caller(i, seed); }));
	std::thread killer([=] { kill_daemon_and_service(seed); });
	inject_faults(seed);
	killer.join();
	for (auto &caller : callers)
		check_log(caller.get());
}

INSTANTIATE_TEST_SUITE_P(Seeds, AtMostOnceFaults, ::testing::Range(1u, 5u));
