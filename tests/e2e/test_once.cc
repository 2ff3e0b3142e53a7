/*
 * At most once and true refusals, over real processes: daemons and services
 * are killed, paused and made to drop their answers, and the platform's store
 * fails, while bookings are counted where they run.
 */
#include <gtest/gtest.h>
#include <signal.h>

#include <chrono>
#include <future>
#include <random>
#include <sstream>
#include <thread>

#include "fleet.h"

using namespace e2e;

namespace
{

const std::string SETTINGS = "request.queue_timeout_ms = 4000\n"
			     "request.connect_timeout_ms = 300\n"
			     "request.idle_timeout_ms = 2000\n"
			     "request.timeout_ms = 4000\n"
			     "platform.timeout_ms = 300\n"
			     "platform.watch_wait_ms = 1000\n"
			     "peer.heartbeat_period_ms = 200\n"
			     "peer.down_after_ms = 1000\n"
			     "claims.clock_margin_ms = 100\n";

std::string
booking(const std::string &id)
{
	return "{\"booking\": \"" + id + "\"}";
}

std::vector<std::string>
headers(const std::string &key)
{
	std::vector<std::string> lines = { "Authorization: Bearer key-a",
		"Content-Type: application/json" };

	if (!key.empty())
		lines.push_back("Idempotency-Key: " + key);
	return lines;
}

class Once : public ::testing::Test
{
      protected:
	explicit Once(const std::string &more = "") : fleet(SETTINGS + more)
	{
	}

	void start(size_t daemon_count, size_t service_count, uint32_t slots)
	{
		for (size_t i = 0; i < service_count; i++)
			services.push_back(fleet.add_service());
		fleet.add_daemons(daemon_count);
		fleet.apply("pools",
		    pools_table(service_pool("bookings", services, slots)));
		fleet.apply("routes",
		    pools_table(route("a", "key-a", "/bookings", "bookings") +
			"," +
			route("b", "key-b", "/bookings", "bookings",
			    ", \"repeat\": \"always\"")));
		fleet.wait_ready();
	}

	Answer book(size_t daemon, const std::string &id,
	    const std::string &key = "")
	{
		return call("POST", fleet.daemons[daemon].url("/bookings"),
		    booking(id), headers(key), 20000);
	}

	std::future<Answer> book_async(size_t daemon, const std::string &id,
	    const std::string &key = "")
	{
		return std::async(std::launch::async,
		    [=] { return book(daemon, id, key); });
	}

	void set_service(size_t index, const std::string &query)
	{
		call("POST",
		    "http://" + services[index] + "/standin/set?" + query);
	}

	void set_platform(const std::string &query)
	{
		call("POST", fleet.platform("/standin/faults?" + query));
	}

	/* Counts runs from the logs, which outlive killed services. */
	uint32_t runs(const std::string &id)
	{
		uint32_t count = 0;

		for (const auto &address : services) {
			std::istringstream log(fleet.endpoints[address]->log());
			for (std::string line; std::getline(log, line);)
				count += line == "run " + id;
		}
		return count;
	}

	bool ran(const std::string &id)
	{
		return eventually([&] { return runs(id) > 0; });
	}

	Fleet fleet;
	std::vector<std::string> services;
};

void
expect_error(const Answer &answer, long status, const std::string &type,
    const std::string &run)
{
	EXPECT_EQ(answer.status, status) << answer.body << answer.error;
	EXPECT_NE(answer.body.find("\"type\":\"" + type + "\""),
	    std::string::npos)
	    << answer.body;
	EXPECT_EQ(answer.headers.count("bamboorudder-run"), 1u);
	if (answer.headers.count("bamboorudder-run") == 1) {
		EXPECT_EQ(answer.headers.at("bamboorudder-run"), run);
	}
}

} // namespace

TEST_F(Once, ADuplicateGetsTheRecordedAnswerThroughAnyDaemon)
{
	Answer first, second;

	start(2, 1, 4);
	first = book(0, "b", "k");
	EXPECT_EQ(first.status, 201);
	EXPECT_EQ(first.headers.count("bamboorudder-replay"), 0u);
	/* the outcome is recorded after the answer has gone */
	EXPECT_TRUE(eventually([&] {
		second = book(1, "b", "k");
		return second.status != 409;
	}));
	EXPECT_EQ(second.status, 201);
	EXPECT_EQ(second.body, first.body);
	EXPECT_EQ(second.headers["bamboorudder-replay"], "true");
	EXPECT_EQ(second.headers["content-type"], "application/json");
	expect_error(book(0, "other", "k"), 422, "key_reused", "not-run");
	EXPECT_EQ(book(0, "c", "k2").status, 201);
	EXPECT_EQ(runs("b"), 1u);
	EXPECT_EQ(runs("other"), 0u);
}

TEST_F(Once, ADuplicateOfARunningRequestIsInProgress)
{
	std::future<Answer> first;

	start(2, 1, 4);
	set_service(0, "delay_ms=1500");
	first = book_async(0, "b", "k");
	ASSERT_TRUE(ran("b"));
	expect_error(book(1, "b", "k"), 409, "in_progress", "unknown");
	EXPECT_EQ(first.get().status, 201);
	EXPECT_EQ(runs("b"), 1u);
}

TEST_F(Once, LostWritesAreSettledByReadingBack)
{
	start(1, 1, 4);
	for (int lost = 1; lost <= 3; lost++) {
		std::string id = "b" + std::to_string(lost);
		set_platform("lose_writes=" + std::to_string(lost));
		EXPECT_EQ(book(0, id, id).status, 201);
		EXPECT_TRUE(
		    eventually([&] { return book(0, id, id).status == 201; }));
		EXPECT_EQ(runs(id), 1u);
	}
}

TEST_F(Once, WithThePlatformDownNothingIsRun)
{
	start(1, 1, 4);
	set_platform("outage_ms=600000");
	expect_error(book(0, "b", "k"), 503, "claim_store_unavailable",
	    "not-run");
	set_platform("slow_ms=1000&slow_for_ms=600000");
	expect_error(book(0, "c", "l"), 503, "claim_store_unavailable",
	    "not-run");
	fleet.platform_process->signal(SIGKILL);
	expect_error(book(0, "d", "m"), 503, "claim_store_unavailable",
	    "not-run");
	/* without a key no claim is needed */
	EXPECT_EQ(book(0, "e").status, 201);
	EXPECT_EQ(runs("b") + runs("c") + runs("d"), 0u);
}

TEST_F(Once, AKilledDaemonLeavesNoSecondRun)
{
	std::future<Answer> first;
	Answer second;

	start(2, 1, 4);
	set_service(0, "delay_ms=1000");
	first = book_async(0, "b", "k");
	ASSERT_TRUE(ran("b"));
	fleet.daemons[0].process->signal(SIGKILL);
	EXPECT_FALSE(first.get().whole);
	EXPECT_TRUE(eventually([&] {
		second = book(1, "b", "k");
		return second.body.find("outcome_unknown") != std::string::npos;
	}));
	expect_error(second, 409, "outcome_unknown", "unknown");
	EXPECT_EQ(runs("b"), 1u);
}

TEST_F(Once, APausedDaemonThatWakesCannotSend)
{
	std::future<Answer> holder, paused;
	Answer other, late;

	start(2, 1, 1);
	set_service(0, "delay_ms=3000");
	holder = book_async(1, "long");
	ASSERT_TRUE(ran("long"));
	paused = book_async(0, "b", "k");
	/* it holds the claim and waits for the only slot */
	ASSERT_TRUE(eventually([&] {
		return call("GET", fleet.platform("/objects?prefix=claims/"))
			   .body.find("claims/") != std::string::npos;
	}));
	fleet.daemons[0].process->signal(SIGSTOP);
	set_service(0, "delay_ms=0");
	ASSERT_TRUE(eventually(
	    [&] {
		    other = book(1, "b", "k");
		    return other.status == 201;
	    },
	    30000))
	    << other.body;
	fleet.daemons[0].process->signal(SIGCONT);
	late = paused.get();
	EXPECT_TRUE(late.headers.count("bamboorudder-run") == 0 ||
	    late.headers["bamboorudder-run"] == "unknown")
	    << late.status << late.body;
	EXPECT_EQ(holder.get().status, 201);
	EXPECT_EQ(runs("b"), 1u);
}

TEST_F(Once, AnAnswerThatGetsLostIsUnknownAndNeverRepeated)
{
	start(1, 1, 4);
	set_service(0, "drop_after=1");
	expect_error(book(0, "b"), 502, "outcome_unknown", "unknown");
	EXPECT_EQ(runs("b"), 1u);
	set_service(0, "drop_after=1");
	expect_error(book(0, "c", "k"), 502, "outcome_unknown", "unknown");
	expect_error(book(0, "c", "k"), 409, "outcome_unknown", "unknown");
	EXPECT_EQ(runs("c"), 1u);
}

TEST_F(Once, ARefusalAfterAnAttemptThatMayHaveRunIsUnknown)
{
	std::future<Answer> first;

	start(1, 1, 4);
	set_service(0, "drop_after=1&delay_ms=700");
	first = std::async(std::launch::async, [&] {
		return call("POST", fleet.daemons[0].url("/bookings"),
		    booking("b"), { "Authorization: Bearer key-b" });
	});
	EXPECT_TRUE(eventually([&] {
		return runs("b") > 0 ||
		    first.wait_for(std::chrono::seconds(0)) ==
		    std::future_status::ready;
	}));
	fleet.endpoints[services[0]]->signal(SIGKILL);
	expect_error(first.get(), 502, "outcome_unknown", "unknown");
}

TEST_F(Once, AnotherAttemptAvoidsTheEndpointThatFailed)
{
	start(1, 2, 4);
	fleet.endpoints[services[0]]->signal(SIGKILL);
	fleet.endpoints[services[0]]->wait();
	for (int i = 0; i < 8; i++) {
		std::string id = "b" + std::to_string(i);
		EXPECT_EQ(book(0, id).status, 201) << i;
		EXPECT_EQ(runs(id), 1u);
	}
}

TEST_F(Once, ARefusalOfAnUnsentRequestFreesItsKey)
{
	start(2, 1, 4);
	set_service(0, "leaving=1");
	expect_error(book(0, "b", "k"), 503, "endpoint_unreachable", "not-run");
	set_service(0, "leaving=0");
	EXPECT_TRUE(
	    eventually([&] { return book(1, "b", "k").status == 201; }));
	EXPECT_EQ(runs("b"), 1u);
}

namespace
{

class OnceSweep : public Once
{
      protected:
	OnceSweep()
	    : Once("claims.keep_ms = 4500\nclaims.sweep_round_ms = 4096\n")
	{
	}
};

} // namespace

TEST_F(OnceSweep, ExpiredClaimsAreRemoved)
{
	start(1, 1, 4);
	EXPECT_EQ(book(0, "b", "k").status, 201);
	EXPECT_EQ(book(0, "c", "l").status, 201);
	EXPECT_TRUE(eventually(
	    [&] {
		    return call("GET",
			       fleet.platform("/objects?prefix=claims/"))
			       .body.find("claims/") == std::string::npos;
	    },
	    60000));
}

namespace
{

/* What one caller did: unique bookings, some with a key, which it repeats. */
struct Tally {
	std::vector<std::pair<std::string, Answer>> answers;
};

class OnceKills : public Once, public ::testing::WithParamInterface<uint32_t>
{
      protected:
	Tally run_caller(uint32_t caller, uint32_t seed)
	{
		std::mt19937 random(seed * 100 + caller);
		Tally tally;

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

	void check(const Tally &tally)
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

TEST_P(OnceKills, NothingRunsTwiceAndNoRefusalIsFalse)
{
	std::vector<std::future<Tally>> callers;
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

INSTANTIATE_TEST_SUITE_P(Seeds, OnceKills, ::testing::Range(1u, 5u));
