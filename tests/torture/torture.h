/**
 * @file
 * A fleet under load with seeded faults, and what its callers recorded.
 */
#ifndef TESTS_TORTURE_TORTURE_H
#define TESTS_TORTURE_TORTURE_H

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "../e2e/fleet.h"

namespace torture
{

using Clock = std::chrono::steady_clock;

constexpr size_t DAEMONS = 8;

inline void
sleep_ms(int64_t duration_ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(duration_ms));
}

inline int64_t
ms_since(Clock::time_point begin)
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(
	    Clock::now() - begin)
	    .count();
}

class Torture
{
      public:
	explicit Torture(uint64_t seed) : random_(seed)
	{
	}
	int run(int seconds, uint64_t seed);

      private:
	size_t pick(size_t count)
	{
		return std::uniform_int_distribution<size_t>(0, count - 1)(
		    random_);
	}
	void start();
	std::string pools(bool second_leaving) const;
	std::string routes(int weight) const;
	bool apply_table(const std::string &table, const std::string &text,
	    size_t daemon);
	void send_booking(const std::string &account, uint64_t number);
	void send_chat(const std::string &account, size_t index);
	void run_caller(const std::string &account, size_t caller);
	void run_flooder();
	void check_versions();
	void inject_fault(size_t kind);
	void restart(size_t index, int signal_number);
	void apply_concurrently();
	void measure_edit_propagation();
	void measure_leaving_endpoint();
	void check_runs();
	size_t run_count(const std::string &address) const;

	std::mt19937_64 random_;
	e2e::Fleet fleet_{
		"test.hooks = true\nshutdown.drain_timeout_ms = 20000\n"
		"request.queue_timeout_ms = 4000\n"
	};
	std::vector<std::string> engines_, services_;
	std::vector<std::thread> threads_;
	std::atomic<bool> stopping_{ false }, flooding_{ false };
	std::atomic<uint64_t> requests_{ 0 }, complete_{ 0 }, wrong_{ 0 };
	std::atomic<uint64_t> reverts_{ 0 };
	std::atomic<uint64_t> restarts_[DAEMONS] = {};
	std::mutex mutex_;
	std::set<std::string> reported_not_run_;
	std::map<std::string, uint64_t> completed_;
	uint64_t run_twice_ = 0, false_not_run_ = 0, bad_exits_ = 0,
		 starved_ = 0, faults_ = 0;
	int64_t in_force_max_ms_ = 0, leaving_max_ms_ = 0;
	int weight_ = 1;
};

} // namespace torture

#endif
