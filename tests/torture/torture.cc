/* Runs eight daemons under load, injects seeded faults, alone and in pairs, and
 * checks what callers and endpoints recorded:
 *   torture [--seed N] [--seconds S] */
#include "torture.h"

#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <memory>

extern "C" {
#include <jansson.h>
}

using namespace e2e;

namespace torture
{

constexpr size_t CALLERS_PER_ACCOUNT = 3, FLOODERS = 12;
constexpr int CHAT_TOKENS = 20;
constexpr long REQUEST_TIMEOUT_MS = 8000;
constexpr uint32_t SETTLE_MS = 3000, IN_FORCE_TIMEOUT_MS = 20000;
const char *const ACCOUNTS[] = { "a", "b", "c" };

std::string
Torture::pools(bool second_leaving) const
{
	std::string services =
	    "{\"pool\": \"bookings\", \"kind\": \"service\", "
	    "\"slots_per_endpoint\": 16, \"endpoints\": "
	    "[{\"address\": \"" +
	    services_[0] + "\"}, {\"address\": \"" + services_[1] + "\"" +
	    (second_leaving ? ", \"leaving\": true" : "") + "}]}";

	return table_json(model_pool_row("chat", engines_, 8) + "," + services);
}

std::string
Torture::routes(int weight) const
{
	std::string rows;

	for (const char *account : ACCOUNTS) {
		std::string id = account;
		rows += (rows.empty() ? "" : ",") +
		    route_row(id, "key-" + id, "/v1/chat", "chat",
			", \"weight\": " + std::to_string(weight)) +
		    "," + route_row(id, "key-" + id, "/bookings", "bookings");
	}
	return table_json(rows);
}

/* Replaces a table; retries after version conflicts and errors. */
bool
Torture::apply_table(const std::string &table, const std::string &text,
    size_t daemon)
{
	std::string path = "/v1/tables/" + table;

	for (int i = 0; i < 20; i++) {
		std::string etag = fleet_.admin_request(daemon, "GET", path)
				       .headers["etag"];
		std::vector<std::string> headers;
		if (etag != "\"0\"")
			headers.push_back("If-Match: " + etag);
		if (fleet_.admin_request(daemon, "PUT", path, text, headers)
			.status == 200)
			return true;
		sleep_ms(200);
	}
	return false;
}

static bool
is_not_run(Response &response)
{
	return response.complete &&
	    response.headers["bamboorudder-run"] == "not-run";
}

static Response
post_booking(const Daemon &daemon, const std::string &account,
    const std::string &id, bool keyed)
{
	std::vector<std::string> headers = { "Authorization: Bearer key-" +
		account };

	if (keyed)
		headers.push_back("Idempotency-Key: " + id);
	return send_request("POST", daemon.url("/bookings"),
	    "{\"booking\": \"" + id + "\"}", headers, REQUEST_TIMEOUT_MS);
}

/* Every second booking of a caller has an idempotency key. It is sent again,
 * with this key and through another daemon, unless a complete 201 arrived. */
void
Torture::send_booking(const std::string &account, uint64_t number)
{
	std::string id = account + std::to_string(number);
	bool keyed = number / CALLERS_PER_ACCOUNT % 2 == 0;
	Response response = post_booking(fleet_.daemons[number % DAEMONS],
	    account, id, keyed);
	bool refused = is_not_run(response);

	if (keyed && (!response.complete || response.status != 201)) {
		response = post_booking(fleet_.daemons[(number + 1) % DAEMONS],
		    account, id, true);
		refused = refused && is_not_run(response);
	}
	std::lock_guard<std::mutex> guard(mutex_);

	requests_++;
	if (refused)
		reported_not_run_.insert(id);
	if (!response.complete || response.status != 201)
		return;
	complete_++;
	completed_[account]++;
	if (response.body.find("\"" + id + "\"") == std::string::npos)
		wrong_++;
}

void
Torture::send_chat(const std::string &account, size_t index)
{
	Response response = send_request("POST",
	    fleet_.daemons[index % DAEMONS].url("/v1/chat/completions"),
	    "{\"messages\": [], \"stream\": true, \"standin_tokens\": " +
		std::to_string(CHAT_TOKENS) + "}",
	    { "Authorization: Bearer key-" + account }, REQUEST_TIMEOUT_MS);
	bool complete = response.body.find("[DONE]") != std::string::npos;
	std::lock_guard<std::mutex> guard(mutex_);

	for (int i = 0; i < CHAT_TOKENS; i++)
		complete = complete &&
		    response.body.find("t" + std::to_string(i) + " ") !=
			std::string::npos;
	requests_++;
	if (!response.complete || response.status != 200)
		return;
	complete_++;
	completed_[account]++;
	if (!complete)
		wrong_++;
}

void
Torture::run_caller(const std::string &account, size_t caller)
{
	for (uint64_t i = 0; !stopping_; i++) {
		if (i % 4 == 3)
			send_chat(account, caller + i);
		else
			send_booking(account, i * CALLERS_PER_ACCOUNT + caller);
		sleep_ms(10);
	}
}

/* Sends requests of one account without pause while the fault lasts. */
void
Torture::run_flooder()
{
	while (!stopping_) {
		if (flooding_)
			send_chat("a", (size_t)requests_);
		else
			sleep_ms(20);
	}
}

/* A daemon must not return to an older table version without a restart. */
void
Torture::check_versions()
{
	std::map<size_t, std::pair<uint64_t, uint64_t>> last_seen;

	while (!stopping_) {
		for (size_t i = 0; i < DAEMONS; i++) {
			uint64_t before = restarts_[i];
			std::string etag = send_request("GET",
			    fleet_.daemons[i].admin_url("/v1/tables/routes"),
			    "", { "Authorization: Bearer operator-token" }, 500)
					       .headers["etag"];
			if (etag.size() < 3 || restarts_[i] != before)
				continue;
			uint64_t version = std::stoull(etag.substr(1));
			if (last_seen[i].first == before &&
			    version < last_seen[i].second)
				reverts_++;
			last_seen[i] = { before, version };
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
	fleet_.apply_table("pools", pools(false));
	fleet_.apply_table("routes", routes(weight_));
	fleet_.wait_ready();
	for (size_t i = 0; i < CALLERS_PER_ACCOUNT; i++)
		for (const char *account : ACCOUNTS)
			threads_.emplace_back(
			    [this, account, i] { run_caller(account, i); });
	for (size_t i = 0; i < FLOODERS; i++)
		threads_.emplace_back([this] { run_flooder(); });
	threads_.emplace_back([this] { check_versions(); });
}

void
Torture::restart(size_t index, int signal_number)
{
	Process &process = *fleet_.daemons[index].process;

	process.signal(signal_number);
	if (signal_number == SIGTERM)
		bad_exits_ += process.wait_with_timeout(30000) != 0;
	else
		process.wait();
	restarts_[index]++;
	fleet_.start(index);
	restarts_[index]++;
}

void
Torture::apply_concurrently()
{
	size_t first = pick(DAEMONS), second = pick(DAEMONS);
	std::string one = routes(++weight_), two = routes(++weight_);
	std::thread other([&] { apply_table("routes", two, second); });

	apply_table("routes", one, first);
	other.join();
}

/* Injects a fault. A lasting fault is removed at the end of the round. */
void
Torture::inject_fault(size_t kind)
{
	size_t index = pick(DAEMONS), other = pick(DAEMONS);
	std::string partition_path = "/v1/test/cut?peers=" +
	    fleet_.daemons[other].peer_address();
	std::string faults = fleet_.platform_url("/standin/faults?");

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
		sleep_ms(500 + (int64_t)pick(2500));
		fleet_.daemons[index].process->signal(SIGCONT);
		break;
	case 3:
		fleet_.admin_request(index, "POST", partition_path);
		break;
	case 4:
		fleet_.admin_request(index, "POST", "/v1/test/cut?peers=*");
		break;
	case 5:
		fleet_.admin_request(index, "POST", "/v1/test/cut?platform=1");
		break;
	case 6:
		send_request("POST", faults + "outage_ms=1500");
		break;
	case 7:
		send_request("POST", faults + "slow_ms=300&slow_for_ms=1500");
		break;
	case 8:
		send_request("POST", faults + "lose_writes=1");
		apply_concurrently();
		break;
	case 9:
		apply_concurrently();
		break;
	default:
		flooding_ = true;
		break;
	}
}

void
Torture::measure_edit_propagation()
{
	std::string field = "\"weight\":" + std::to_string(++weight_);
	auto begin = Clock::now();

	if (!apply_table("routes", routes(weight_), pick(DAEMONS)))
		in_force_max_ms_ = IN_FORCE_TIMEOUT_MS;
	for (size_t i = 0; i < DAEMONS; i++)
		if (!eventually(
			[&] {
				std::string body = fleet_
						       .admin_request(i, "GET",
							   "/v1/tables/routes")
						       .body;
				body.erase(std::remove(body.begin(), body.end(),
					       ' '),
				    body.end());
				return body.find(field) != std::string::npos;
			},
			IN_FORCE_TIMEOUT_MS))
			in_force_max_ms_ = IN_FORCE_TIMEOUT_MS;
	in_force_max_ms_ = std::max(in_force_max_ms_, ms_since(begin));
}

size_t
Torture::run_count(const std::string &address) const
{
	std::string body =
	    send_request("GET", "http://" + address + "/standin/runs").body;

	return (size_t)std::count(body.begin(), body.end(), ':');
}

void
Torture::measure_leaving_endpoint()
{
	size_t before = run_count(services_[1]);
	auto begin = Clock::now();

	if (!apply_table("pools", pools(true), pick(DAEMONS)))
		leaving_max_ms_ = IN_FORCE_TIMEOUT_MS;
	while (ms_since(begin) < SETTLE_MS) {
		size_t now = run_count(services_[1]);
		if (now != before)
			leaving_max_ms_ = ms_since(begin);
		before = now;
		sleep_ms(20);
	}
}

void
Torture::check_runs()
{
	for (const auto &address : services_) {
		std::string body = send_request("GET",
		    "http://" + address + "/standin/runs")
				       .body;
		json_t *runs = json_loads(body.c_str(), 0, nullptr), *count;
		const char *id;
		json_object_foreach (runs, id, count) {
			run_twice_ += json_integer_value(count) > 1;
			false_not_run_ += reported_not_run_.count(id);
		}
		json_decref(runs);
	}
}

int
Torture::run(int seconds, uint64_t seed)
{
	constexpr size_t FAULT_KINDS_COUNT = 11;
	auto begin = Clock::now();

	start();
	while (ms_since(begin) < (int64_t)seconds * 1000) {
		inject_fault(pick(FAULT_KINDS_COUNT));
		if (pick(2) == 0)
			inject_fault(pick(FAULT_KINDS_COUNT));
		sleep_ms(300 + (int64_t)pick(1200));
		flooding_ = false;
		for (size_t i = 0; i < DAEMONS; i++)
			fleet_.admin_request(i, "POST", "/v1/test/heal");
	}
	send_request("POST", fleet_.platform_url("/standin/faults?"));
	sleep_ms(SETTLE_MS);
	{
		std::lock_guard<std::mutex> guard(mutex_);
		completed_.clear();
	}
	measure_edit_propagation();
	measure_leaving_endpoint();
	for (const char *account : ACCOUNTS) {
		std::lock_guard<std::mutex> guard(mutex_);
		starved_ += completed_[account] == 0;
	}
	stopping_ = true;
	for (auto &thread : threads_)
		thread.join();
	check_runs();
	printf("seed=%llu\nrequests=%llu\nanswers_whole=%llu\n"
	       "answers_wrong=%llu\nfalse_not_run=%llu\nrun_twice=%llu\n"
	       "table_reverts=%llu\ntable_in_force_max_ms=%lld\n"
	       "new_work_to_leaving_max_ms=%lld\nshutdown_cut=%llu\n"
	       "starved_accounts=%llu\nfaults_injected=%llu\n",
	    (unsigned long long)seed, (unsigned long long)requests_.load(),
	    (unsigned long long)complete_.load(),
	    (unsigned long long)wrong_.load(),
	    (unsigned long long)false_not_run_, (unsigned long long)run_twice_,
	    (unsigned long long)reverts_.load(), (long long)in_force_max_ms_,
	    (long long)leaving_max_ms_, (unsigned long long)bad_exits_,
	    (unsigned long long)starved_, (unsigned long long)faults_);
	return wrong_ + false_not_run_ + run_twice_ + reverts_ + bad_exits_ +
		    starved_ ==
		0
	    ? 0
	    : 1;
}

} // namespace torture

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
	torture::Torture fleet(seed);
	status = fleet.run(seconds, seed);
	if (status != 0)
		fprintf(stderr, "failed with seed %llu\n",
		    (unsigned long long)seed);
	return status;
}
