/*
 * Runs eight daemons under load, injects faults by a seed, alone and in pairs,
 * and judges what callers and endpoints saw.
 *
 *   torture --seed N --seconds S
 */
#include <signal.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include "../e2e/fleet.h"

extern "C" {
#include <jansson.h>
}

using namespace e2e;

namespace
{

constexpr size_t DAEMONS = 8, CALLERS = 3, FLOODERS = 12;
constexpr int CHAT_TOKENS = 20;
constexpr long CALL_MS = 8000;
constexpr uint32_t CALM_MS = 3000, IN_FORCE_LIMIT_MS = 20000;
const char *const ACCOUNTS[] = { "a", "b", "c" };

using Clock = std::chrono::steady_clock;

void
sleep_ms(int64_t duration_ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(duration_ms));
}

int64_t
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
	size_t draw(size_t count)
	{
		return std::uniform_int_distribution<size_t>(0, count - 1)(
		    random_);
	}
	void start();
	std::string pools(bool second_leaving) const;
	std::string routes(int number) const;
	bool apply(const std::string &table, const std::string &text,
	    size_t through);
	void send_booking(const std::string &account, uint64_t number);
	void send_chat(const std::string &account, size_t index);
	void call_in_turn(const std::string &account, size_t caller);
	void flood();
	void watch_versions();
	void inject(size_t kind);
	void restart(size_t index, int signal_number);
	void race_operators();
	void measure_edit();
	void measure_leaving();
	void judge_runs();
	size_t runs_of(const std::string &address) const;

	std::mt19937_64 random_;
	Fleet fleet_{ "test.hooks = true\nshutdown.drain_timeout_ms = 20000\n"
		      "request.queue_timeout_ms = 4000\n" };
	std::vector<std::string> engines_, services_;
	std::vector<std::thread> threads_;
	std::atomic<bool> stopping_{ false }, flooding_{ false };
	std::atomic<uint64_t> requests_{ 0 }, whole_{ 0 }, wrong_{ 0 };
	std::atomic<uint64_t> reverts_{ 0 };
	std::atomic<uint64_t> restarts_[DAEMONS] = {};
	std::mutex mutex_;
	std::set<std::string> not_run_;
	std::map<std::string, uint64_t> done_;
	uint64_t twice_ = 0, false_not_run_ = 0, cut_ = 0, starved_ = 0;
	uint64_t faults_ = 0;
	int64_t in_force_max_ms_ = 0, leaving_max_ms_ = 0;
	int edit_ = 1;
};

std::string
Torture::pools(bool second_leaving) const
{
	std::string services =
	    "{\"pool\": \"bookings\", \"kind\": \"service\", "
	    "\"slots_per_endpoint\": 16, \"endpoints\": "
	    "[{\"address\": \"" +
	    services_[0] + "\"}, {\"address\": \"" + services_[1] + "\"" +
	    (second_leaving ? ", \"leaving\": true" : "") + "}]}";

	return pools_table(model_pool("chat", engines_, 8) + "," + services);
}

std::string
Torture::routes(int number) const
{
	std::string rows;

	for (const char *account : ACCOUNTS) {
		std::string name = account;
		rows += (rows.empty() ? "" : ",") +
		    route(name, "key-" + name, "/v1/chat", "chat",
			", \"weight\": " + std::to_string(number)) +
		    "," + route(name, "key-" + name, "/bookings", "bookings");
	}
	return pools_table(rows);
}

/* Replaces a table, as an operator who tries again after a lost race. */
bool
Torture::apply(const std::string &table, const std::string &text,
    size_t through)
{
	std::string path = "/v1/tables/" + table;

	for (int i = 0; i < 20; i++) {
		std::string etag = fleet_.admin_call(through, "GET", path)
				       .headers["etag"];
		std::vector<std::string> headers;
		if (etag != "\"0\"")
			headers.push_back("If-Match: " + etag);
		if (fleet_.admin_call(through, "PUT", path, text, headers)
			.status == 200)
			return true;
		sleep_ms(200);
	}
	return false;
}

static bool
is_not_run(Answer &answer)
{
	return answer.whole && answer.headers["bamboorudder-run"] == "not-run";
}

static Answer
book(const Daemon &daemon, const std::string &account, const std::string &id,
    bool keyed)
{
	std::vector<std::string> headers = { "Authorization: Bearer key-" +
		account };

	if (keyed)
		headers.push_back("Idempotency-Key: " + id);
	return call("POST", daemon.url("/bookings"),
	    "{\"booking\": \"" + id + "\"}", headers, CALL_MS);
}

/* Every second booking has a key; it is sent again through another daemon
 * under the same key unless its answer came. */
void
Torture::send_booking(const std::string &account, uint64_t number)
{
	std::string id = account + std::to_string(number);
	bool keyed = number / CALLERS % 2 == 0;
	Answer answer = book(fleet_.daemons[number % DAEMONS], account, id,
	    keyed);
	bool refused = is_not_run(answer);

	if (keyed && (!answer.whole || answer.status != 201)) {
		answer = book(fleet_.daemons[(number + 1) % DAEMONS], account,
		    id, true);
		refused = refused && is_not_run(answer);
	}
	std::lock_guard<std::mutex> guard(mutex_);

	requests_++;
	if (refused)
		not_run_.insert(id);
	if (!answer.whole || answer.status != 201)
		return;
	whole_++;
	done_[account]++;
	if (answer.body.find("\"" + id + "\"") == std::string::npos)
		wrong_++;
}

void
Torture::send_chat(const std::string &account, size_t index)
{
	Answer answer = call("POST",
	    fleet_.daemons[index % DAEMONS].url("/v1/chat/completions"),
	    "{\"messages\": [], \"stream\": true, \"standin_tokens\": " +
		std::to_string(CHAT_TOKENS) + "}",
	    { "Authorization: Bearer key-" + account }, CALL_MS);
	bool complete = answer.body.find("[DONE]") != std::string::npos;
	std::lock_guard<std::mutex> guard(mutex_);

	for (int i = 0; i < CHAT_TOKENS; i++)
		complete = complete &&
		    answer.body.find("t" + std::to_string(i) + " ") !=
			std::string::npos;
	requests_++;
	if (!answer.whole || answer.status != 200)
		return;
	whole_++;
	done_[account]++;
	if (!complete)
		wrong_++;
}

void
Torture::call_in_turn(const std::string &account, size_t caller)
{
	for (uint64_t i = 0; !stopping_; i++) {
		if (i % 4 == 3)
			send_chat(account, caller + i);
		else
			send_booking(account, i * CALLERS + caller);
		sleep_ms(10);
	}
}

/* One account sends as fast as it can while the fault lasts. */
void
Torture::flood()
{
	while (!stopping_) {
		if (flooding_)
			send_chat("a", (size_t)requests_);
		else
			sleep_ms(20);
	}
}

/* No daemon may go back to a lower version within one process. */
void
Torture::watch_versions()
{
	std::map<size_t, std::pair<uint64_t, uint64_t>> seen;

	while (!stopping_) {
		for (size_t i = 0; i < DAEMONS; i++) {
			uint64_t before = restarts_[i];
			std::string etag = call("GET",
			    fleet_.daemons[i].admin("/v1/tables/routes"), "",
			    { "Authorization: Bearer operator-token" }, 500)
					       .headers["etag"];
			if (etag.size() < 3 || restarts_[i] != before)
				continue;
			uint64_t version = std::stoull(etag.substr(1));
			if (seen[i].first == before && version < seen[i].second)
				reverts_++;
			seen[i] = { before, version };
		}
		sleep_ms(50);
	}
}

void
Torture::start()
{
	for (int i = 0; i < 2; i++) {
		engines_.push_back(fleet_.add_engine(8, 2000));
		services_.push_back(fleet_.add_service());
	}
	fleet_.add_daemons(DAEMONS);
	fleet_.apply("pools", pools(false));
	fleet_.apply("routes", routes(edit_));
	fleet_.wait_ready();
	for (size_t i = 0; i < CALLERS; i++)
		for (const char *account : ACCOUNTS)
			threads_.emplace_back(
			    [this, account, i] { call_in_turn(account, i); });
	for (size_t i = 0; i < FLOODERS; i++)
		threads_.emplace_back([this] { flood(); });
	threads_.emplace_back([this] { watch_versions(); });
}

void
Torture::restart(size_t index, int signal_number)
{
	Process &process = *fleet_.daemons[index].process;

	process.signal(signal_number);
	if (signal_number == SIGTERM)
		cut_ += process.wait_for_ms(30000) != 0;
	else
		process.wait();
	restarts_[index]++;
	fleet_.start(index);
	restarts_[index]++;
}

void
Torture::race_operators()
{
	size_t first = draw(DAEMONS), second = draw(DAEMONS);
	std::string one = routes(++edit_), two = routes(++edit_);
	std::thread other([&] { apply("routes", two, second); });

	apply("routes", one, first);
	other.join();
}

/* Begins a fault; those that last end with the round. */
void
Torture::inject(size_t kind)
{
	size_t index = draw(DAEMONS), other = draw(DAEMONS);
	std::string cut = "/v1/test/cut?peers=" + fleet_.daemons[other].peer();
	std::string faults = fleet_.platform("/standin/faults?");

	faults_++;
	switch (kind) {
	case 0:
		restart(index, SIGKILL);
		break;
	case 1:
		restart(index, SIGTERM);
		break;
	case 2:
		fleet_.daemons[index].process->signal(SIGSTOP);
		sleep_ms(500 + (int64_t)draw(2500));
		fleet_.daemons[index].process->signal(SIGCONT);
		break;
	case 3:
		fleet_.admin_call(index, "POST", cut);
		break;
	case 4:
		fleet_.admin_call(index, "POST", "/v1/test/cut?peers=*");
		break;
	case 5:
		fleet_.admin_call(index, "POST", "/v1/test/cut?platform=1");
		break;
	case 6:
		call("POST", faults + "outage_ms=1500");
		break;
	case 7:
		call("POST", faults + "slow_ms=300&slow_for_ms=1500");
		break;
	case 8:
		call("POST", faults + "lose_writes=1");
		race_operators();
		break;
	case 9:
		race_operators();
		break;
	default:
		flooding_ = true;
		break;
	}
}

void
Torture::measure_edit()
{
	std::string mark = "\"weight\":" + std::to_string(++edit_);
	auto begin = Clock::now();

	if (!apply("routes", routes(edit_), draw(DAEMONS)))
		in_force_max_ms_ = IN_FORCE_LIMIT_MS;
	for (size_t i = 0; i < DAEMONS; i++)
		if (!eventually(
			[&] {
				std::string body = fleet_
						       .admin_call(i, "GET",
							   "/v1/tables/routes")
						       .body;
				body.erase(std::remove(body.begin(), body.end(),
					       ' '),
				    body.end());
				return body.find(mark) != std::string::npos;
			},
			IN_FORCE_LIMIT_MS))
			in_force_max_ms_ = IN_FORCE_LIMIT_MS;
	in_force_max_ms_ = std::max(in_force_max_ms_, ms_since(begin));
}

size_t
Torture::runs_of(const std::string &address) const
{
	std::string body = call("GET", "http://" + address + "/standin/runs")
			       .body;

	return (size_t)std::count(body.begin(), body.end(), ':');
}

void
Torture::measure_leaving()
{
	size_t before = runs_of(services_[1]);
	auto begin = Clock::now();

	if (!apply("pools", pools(true), draw(DAEMONS)))
		leaving_max_ms_ = IN_FORCE_LIMIT_MS;
	while (ms_since(begin) < CALM_MS) {
		size_t now = runs_of(services_[1]);
		if (now != before)
			leaving_max_ms_ = ms_since(begin);
		before = now;
		sleep_ms(20);
	}
}

void
Torture::judge_runs()
{
	for (const auto &address : services_) {
		std::string body =
		    call("GET", "http://" + address + "/standin/runs").body;
		json_t *runs = json_loads(body.c_str(), 0, nullptr), *count;
		const char *id;
		json_object_foreach (runs, id, count) {
			twice_ += json_integer_value(count) > 1;
			false_not_run_ += not_run_.count(id);
		}
		json_decref(runs);
	}
}

int
Torture::run(int seconds, uint64_t seed)
{
	constexpr size_t KINDS = 11;
	auto begin = Clock::now();

	start();
	while (ms_since(begin) < (int64_t)seconds * 1000) {
		inject(draw(KINDS));
		if (draw(2) == 0)
			inject(draw(KINDS));
		sleep_ms(300 + (int64_t)draw(1200));
		flooding_ = false;
		for (size_t i = 0; i < DAEMONS; i++)
			fleet_.admin_call(i, "POST", "/v1/test/heal");
	}
	call("POST", fleet_.platform("/standin/faults?"));
	sleep_ms(CALM_MS);
	{
		std::lock_guard<std::mutex> guard(mutex_);
		done_.clear();
	}
	measure_edit();
	measure_leaving();
	for (const char *account : ACCOUNTS) {
		std::lock_guard<std::mutex> guard(mutex_);
		starved_ += done_[account] == 0;
	}
	stopping_ = true;
	for (auto &thread : threads_)
		thread.join();
	judge_runs();
	printf("seed=%llu\nrequests=%llu\nanswers_whole=%llu\n"
	       "answers_wrong=%llu\nfalse_not_run=%llu\nrun_twice=%llu\n"
	       "table_reverts=%llu\ntable_in_force_max_ms=%lld\n"
	       "new_work_to_leaving_max_ms=%lld\nshutdown_cut=%llu\n"
	       "starved_accounts=%llu\nfaults_injected=%llu\n",
	    (unsigned long long)seed, (unsigned long long)requests_.load(),
	    (unsigned long long)whole_.load(),
	    (unsigned long long)wrong_.load(),
	    (unsigned long long)false_not_run_, (unsigned long long)twice_,
	    (unsigned long long)reverts_.load(), (long long)in_force_max_ms_,
	    (long long)leaving_max_ms_, (unsigned long long)cut_,
	    (unsigned long long)starved_, (unsigned long long)faults_);
	return wrong_ + false_not_run_ + twice_ + reverts_ + cut_ + starved_ ==
		0
	    ? 0
	    : 1;
}

} // namespace

int
main(int argc, char **argv)
{
	uint64_t seed = 1;
	int seconds = 20, status;

	for (int i = 1; i + 1 < argc; i += 2) {
		if (strcmp(argv[i], "--seed") == 0)
			seed = strtoull(argv[i + 1], nullptr, 10);
		else if (strcmp(argv[i], "--seconds") == 0)
			seconds = atoi(argv[i + 1]);
	}
	Torture torture(seed);
	status = torture.run(seconds, seed);
	if (status != 0)
		fprintf(stderr, "failed with seed %llu\n",
		    (unsigned long long)seed);
	return status;
}
