/*
 * Runs daemons under load, injects faults into their connections and processes,
 * and checks what callers and endpoints recorded.
 *
 *   soak [--seed N] [--seconds S] [--daemons D]
 */
#include <curl/curl.h>

#include <cinttypes>
#include <csignal>
#include <filesystem>

#include "soak_harness.h"
#include "unfinished_crowd.h"

using namespace soak;

namespace
{

constexpr uint32_t CALLERS_COUNT = 6;
/* The first daemon passes connections of callers to others of its domain. */
constexpr uint32_t DOMAINS_COUNT = 2;
constexpr uint32_t REVOKE_MS = 3000;
/* The requirements allow 12 s between the end of the last fault and the first
 * request that must be served. */
constexpr uint32_t RECOVERY_MS = 12000;
constexpr uint32_t MEASUREMENT_MS = 3000;
/* Below 100 because endpoints fail about a tenth of the requests. */
constexpr uint32_t SERVED_MIN_PERCENT = 75;
constexpr uint32_t REQUEST_TIMEOUT_MS = 4000;
/* Requests with one of the keys before the current one. */
constexpr uint32_t FORMER_KEYS_PERCENT = 20;
constexpr uint32_t FORMER_KEYS_COUNT = 6;

const std::vector<e2e::RouteSpec> routes = {
	{ "/once/", "unsafe", 1, false },
	{ "/safe/", "safe", 2, true },
	{ "/flow/", "streaming", 1, false },
};

struct Options {
	uint64_t seed = 1;
	uint32_t seconds = 10;
	uint32_t daemons = 3;
};

class Soak
{
      public:
	explicit Soak(const Options &options)
	    : options_(options),
	      directory_(::testing::TempDir() + "bamboorudder-soak-XXXXXX")
	{
		if (mkdtemp(directory_.data()) == nullptr)
			exit(2);
	}

	int run();

      private:
	void write_configuration();
	void add_endpoint(const std::string &name);
	void add_daemon(size_t index, const std::string &seeds);
	void start(Daemon &daemon);
	void inject_connection_faults(Random random);
	void inject_process_faults(Random random);
	void change_configuration(Random random);
	void inject_crowds(Random random);
	void run_caller(uint64_t number);
	bool send_request(CURL *handle, const std::string &id, const char *path,
	    const std::string &key, Daemon &daemon);
	bool is_sent_revoked(const RequestLog::Entry &entry);
	void print_times(const std::string &id, const RequestLog::Entry &entry);
	int check_results();

	int64_t elapsed_ms(Clock::time_point at) const
	{
		return std::chrono::duration_cast<std::chrono::milliseconds>(
		    at - begin_)
		    .count();
	}

	bool faults_ended() const
	{
		return faults_ended_;
	}

	/** Sleeps, but only while faults are injected. */
	void sleep_ms(uint32_t duration_ms) const
	{
		for (uint32_t i = 0; i < duration_ms && !faults_ended();
		     i += 20)
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(20));
	}

	Options options_;
	Clock::time_point begin_ = Clock::now();
	std::string directory_;
	RequestLog request_log_;
	KeyRotation key_rotation_;
	e2e::FakeObjectStore store_;
	uint64_t version_ = 0;
	uint16_t handoff_port_ = e2e::free_port();
	std::vector<std::unique_ptr<FaultyEndpoint>> endpoints_;
	std::vector<std::unique_ptr<FaultProxy>> endpoint_proxies_;
	std::vector<std::unique_ptr<Daemon>> daemons_;
	std::atomic<bool> faults_ended_{ false }, stopping_{ false },
	    measuring_{ false };
	std::atomic<uint32_t> faults_{ 0 }, measured_requests_{ 0 },
	    measured_served_{ 0 };
};

void
Soak::write_configuration()
{
	std::string accounts = "{\"name\":\"desk\",\"api_keys\":[" +
	    key_rotation_.rotate() + "],\"priority\":1}";

	store_.put("config", "main",
	    e2e::configuration_json(++version_, routes, accounts));
	key_rotation_.record_stored();
}

void
Soak::add_endpoint(const std::string &name)
{
	auto endpoint = std::make_unique<FaultyEndpoint>(name, &request_log_,
	    options_.seed);
	std::string address = endpoint->address();

	endpoint_proxies_.push_back(std::make_unique<FaultProxy>(
	    (uint16_t)std::stoul(address.substr(address.find(':') + 1))));
	store_.put("servers", name,
	    endpoint->entry(endpoint_proxies_.back()->address(), "ready"));
	endpoints_.push_back(std::move(endpoint));
}

void
Soak::add_daemon(size_t index, const std::string &seeds)
{
	Daemon &daemon = *daemons_[index];
	std::string url = store_.url();

	daemon.store_proxy = std::make_unique<FaultProxy>(
	    (uint16_t)std::stoul(url.substr(url.rfind(':') + 1)));
	daemon.settings_path = directory_ + "/daemon" + std::to_string(index) +
	    ".toml";
	daemon.log_path = directory_ + "/daemon" + std::to_string(index) +
	    ".log";
	std::ofstream(daemon.settings_path)
	    << "[listen]\naddress = \"127.0.0.1:" << daemon.listen_port
	    << "\"\nreadiness_address = \"127.0.0.1:" << daemon.readiness_port
	    << "\"\n[admin]\naddress = \"127.0.0.1:" << daemon.admin_port
	    << "\"\n[peer]\naddress = \"" << daemon.peer_address
	    << "\"\nhandoff_address = \"127.0.0." << index + 1 << ":"
	    << handoff_port_
	    << "\"\nhandoff_pass_percent = " << (index == 0 ? 100 : 0)
	    << "\nhandoff_accept_percent = " << (index == 0 ? 100 : 0)
	    << "\nfailure_domain = \"z" << index % DOMAINS_COUNT
	    << "\"\nseeds = [" << seeds
	    << "]\n[platform]\nform = \"objects\"\nurl = \"http://"
	    << daemon.store_proxy->address()
	    << "\"\ntimeout_ms = 400\nwatch_wait_ms = 800\n"
	    << "endpoints_age_ms = 1500\nrevoke_ms = " << REVOKE_MS
	    << "\n[retry]\nslack = 100\n[request]\nconnect_timeout_ms = 400\n"
	    << "[shutdown]\ngrace_s = 5\n";
	start(daemon);
}

void
Soak::start(Daemon &daemon)
{
	daemon.process = std::make_unique<
	    e2e::Process>(std::vector<std::string>{ getenv("BAMBOORUDDERD"),
			      daemon.settings_path },
	    daemon.log_path);
}

void
Soak::inject_connection_faults(Random random)
{
	while (!faults_ended()) {
		size_t index = random() %
		    (endpoint_proxies_.size() + daemons_.size());
		FaultProxy &proxy = index < endpoint_proxies_.size()
		    ? *endpoint_proxies_[index]
		    : *daemons_[index - endpoint_proxies_.size()]->store_proxy;
		Fault fault = (Fault)(1 + random() % (FAULT_COUNT - 1));
		uint32_t duration_ms = 200 + random() % 1800;

		proxy.fault = fault;
		faults_++;
		sleep_ms(duration_ms);
		proxy.fault = FAULT_NONE;
		sleep_ms(random() % 600);
	}
}

void
Soak::inject_process_faults(Random random)
{
	while (!faults_ended()) {
		Daemon &daemon = *daemons_[random() % daemons_.size()];
		uint64_t kind = random() % 3;
		uint32_t duration_ms = 100 + random() % 2500;
		std::lock_guard<std::mutex> lock(daemon.mutex);

		faults_++;
		if (kind != 0)
			daemon.taken_before_count = daemon.taken_count();
		daemon.process->signal(kind == 0 ? SIGSTOP
			: kind == 1              ? SIGKILL
						 : SIGTERM);
		if (kind == 0) {
			sleep_ms(duration_ms);
			daemon.process->signal(SIGCONT);
		} else {
			if (daemon.process->wait_with_timeout(8000) == -2)
				fprintf(stderr,
				    "a daemon did not exit within 8 s of a "
				    "signal\n");
			sleep_ms(duration_ms);
			start(daemon);
		}
		sleep_ms(300 + random() % 1500);
	}
}

/* Changes the keys, and drains an endpoint, which then starts again. */
void
Soak::change_configuration(Random random)
{
	while (!faults_ended()) {
		size_t index = random() % endpoints_.size();
		std::string name = "e" + std::to_string(index);
		std::string address = endpoint_proxies_[index]->address();

		/* two changes must take longer than revoke_ms, for which a
		 * daemon accepts keys that it can't confirm */
		sleep_ms(1200 + random() % 1500);
		write_configuration();
		faults_++;
		store_.put("servers", name,
		    endpoints_[index]->entry(address, "draining"));
		sleep_ms(400 + random() % 1000);
		endpoints_[index]->restart();
		store_.put("servers", name,
		    endpoints_[index]->entry(address, "ready"));
		if (random() % 4 == 0)
			store_.compact();
	}
}

void
Soak::inject_crowds(Random random)
{
	for (uint32_t number = 0; !faults_ended(); number++) {
		sleep_ms(random() % 1000);
		UnfinishedCrowd crowd(daemons_[random() % daemons_.size()]
					  ->listen_port,
		    key_rotation_.current(), number);
		faults_++;
		sleep_ms(200 + random() % 1800);
	}
}

bool
needs_key(const char *path)
{
	for (const e2e::RouteSpec &route : routes)
		if (route.prefix == path)
			return !route.anonymous;
	return true;
}

/** @return whether the response came from an endpoint */
bool
Soak::send_request(CURL *handle, const std::string &id, const char *path,
    const std::string &key, Daemon &daemon)
{
	RequestLog::Entry response;
	std::string url = "http://127.0.0.1:" +
	    std::to_string(daemon.listen_port) + path;
	curl_slist *headers = nullptr;
	long status = 0;
	CURLcode code;

	for (const std::string &line : { std::string("Host: a.example"),
		 "X-Bamboorudder-Request-Id: " + id,
		 std::string("X-Bamboorudder-Deadline-Ms: 3000"),
		 "X-Bamboorudder-Credential: " + key })
		headers = curl_slist_append(headers, line.c_str());
	curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
	curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(handle, CURLOPT_POSTFIELDS, "x");
	curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, (long)REQUEST_TIMEOUT_MS);
	curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(handle, CURLOPT_WRITEDATA, &response.body);
	request_log_.record_sent(id, needs_key(path) ? key : "");
	code = curl_easy_perform(handle);
	curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
	curl_slist_free_all(headers);
	response.status = code == CURLE_OK ? (uint32_t)status : 0;
	response.idempotent = strcmp(path, "/safe/") == 0;
	response.key_was_valid = key_rotation_.is_valid(key);
	request_log_.record_response(id, response);
	return code == CURLE_OK && (status == 200 || status == 500);
}

/* A caller reuses its connections until a daemon closes them. A part of its
 * requests has a key that it may have lost. */
void
Soak::run_caller(uint64_t number)
{
	static const char *const paths[] = { "/once/", "/safe/", "/flow/" };
	Random random(options_.seed * 1000 + number);
	CURL *handle = curl_easy_init();

	for (uint64_t i = 0; !stopping_; i++) {
		bool former = random() % 100 < FORMER_KEYS_PERCENT;
		std::string key = former
		    ? key_rotation_.former(1 + random() % FORMER_KEYS_COUNT)
		    : key_rotation_.current();
		std::string id = "c" + std::to_string(number) + "n" +
		    std::to_string(i) + key;
		bool measured = measuring_ && !former;
		bool served = send_request(handle, id, paths[random() % 3], key,
		    *daemons_[random() % daemons_.size()]);

		measured_requests_ += measured;
		measured_served_ += measured && served;
		std::this_thread::sleep_for(
		    std::chrono::milliseconds(10 + random() % 30));
	}
	curl_easy_cleanup(handle);
}

/** @return whether a request was sent over revoke_ms after its key was taken
 * away; must not run then */
bool
Soak::is_sent_revoked(const RequestLog::Entry &entry)
{
	if (entry.key.empty())
		return false;

	auto revoked_at = key_rotation_.revoked_at(entry.key);

	return revoked_at.has_value() &&
	    entry.sent_at > *revoked_at + std::chrono::milliseconds(REVOKE_MS);
}

void
Soak::print_times(const std::string &id, const RequestLog::Entry &entry)
{
	printf("request=%s key=%s revoked_ms=%" PRId64 " sent_ms=%" PRId64
	       " last_run_ms=%" PRId64 "\n",
	    id.c_str(), entry.key.c_str(),
	    elapsed_ms(*key_rotation_.revoked_at(entry.key)),
	    elapsed_ms(entry.sent_at), elapsed_ms(entry.last_run_at));
}

int
Soak::check_results()
{
	uint32_t requests = 0, complete = 0, refused = 0, wrong = 0,
		 ran_twice = 0;
	uint32_t denied = 0, false_not_run = 0, revoked_sent = 0,
		 revoked_ran = 0, unfinished_ran = 0, violations, passed_on = 0;
	uint32_t served_percent = measured_served_ * 100 /
	    std::max<uint32_t>(measured_requests_, 1);

	for (const auto &[id, entry] : request_log_.entries()) {
		bool not_run = entry.status == 503 || entry.status == 429 ||
		    entry.status == 408 || entry.status == 421;

		if (id.rfind(UNFINISHED_ID, 0) == 0) {
			unfinished_ran++;
			continue;
		}
		requests++;
		complete += entry.status == 200;
		refused += not_run;
		wrong += entry.status == 200 && !is_complete(id, entry.body);
		ran_twice += entry.runs > (entry.idempotent ? 2 : 1);
		denied += entry.status >= 400 && entry.status < 500 &&
		    !not_run && entry.key_was_valid;
		false_not_run += not_run && entry.runs > 0 && !entry.idempotent;
		if (!is_sent_revoked(entry))
			continue;
		revoked_sent++;
		revoked_ran += entry.runs > 0;
		if (entry.runs > 0)
			print_times(id, entry);
	}
	printf("seed=%" PRIu64 "\nfaults=%u\nrequests=%u\nwhole=%u\n"
	       "refused=%u\nwrong=%u\nran_twice=%u\nfalse_not_run=%u\n",
	    options_.seed, faults_.load(), requests, complete, refused, wrong,
	    ran_twice, false_not_run);
	for (const auto &daemon : daemons_)
		passed_on += daemon->taken_count();
	printf("passed_on=%u\ndenied=%u\nunfinished_ran=%u\nrevoked_sent=%u\n"
	       "revoked_ran=%u\nserved_after_percent=%u\n",
	    passed_on, denied, unfinished_ran, revoked_sent, revoked_ran,
	    served_percent);
	violations = wrong + ran_twice + false_not_run + denied +
	    unfinished_ran + revoked_ran;
	if (violations == 0 && served_percent >= SERVED_MIN_PERCENT &&
	    complete > 0 && revoked_sent > 0 &&
	    (passed_on > 0 || options_.daemons <= DOMAINS_COUNT))
		return 0;
	printf("failed_seed=%" PRIu64 " logs=%s\n", options_.seed,
	    directory_.c_str());
	return 1;
}

int
Soak::run()
{
	Random random(options_.seed);
	std::vector<std::thread> threads, callers;
	std::string seeds;
	int status;

	write_configuration();
	write_configuration();
	for (int i = 0; i < 4; i++)
		add_endpoint("e" + std::to_string(i));
	for (uint32_t i = 0; i < options_.daemons; i++) {
		daemons_.push_back(std::make_unique<Daemon>());
		daemons_[i]->listen_port = e2e::free_port();
		daemons_[i]->readiness_port = e2e::free_port();
		daemons_[i]->admin_port = e2e::free_port();
		daemons_[i]->peer_address = "127.0.0." + std::to_string(i + 1) +
		    ":" + std::to_string(e2e::free_port());
		seeds += std::string(i == 0 ? "" : ",") + "\"" +
		    daemons_[i]->peer_address + "\"";
	}
	for (uint32_t i = 0; i < options_.daemons; i++)
		add_daemon(i, seeds);
	std::this_thread::sleep_for(std::chrono::seconds(2));
	for (uint32_t i = 0; i < CALLERS_COUNT; i++)
		callers.emplace_back([this, i] { run_caller(i); });
	for (int i = 0; i < 2; i++) {
		threads.emplace_back([this, seed = random()] {
			inject_connection_faults(Random(seed));
		});
		threads.emplace_back([this, seed = random()] {
			inject_process_faults(Random(seed));
		});
	}
	threads.emplace_back(
	    [this, seed = random()] { change_configuration(Random(seed)); });
	threads.emplace_back(
	    [this, seed = random()] { inject_crowds(Random(seed)); });
	std::this_thread::sleep_for(std::chrono::seconds(options_.seconds));
	faults_ended_ = true;
	for (auto &thread : threads)
		thread.join();
	std::this_thread::sleep_for(std::chrono::milliseconds(RECOVERY_MS));
	measuring_ = true;
	std::this_thread::sleep_for(std::chrono::milliseconds(MEASUREMENT_MS));
	stopping_ = true;
	for (auto &caller : callers)
		caller.join();
	status = check_results();
	daemons_.clear();
	if (status == 0)
		std::filesystem::remove_all(directory_);
	return status;
}

} // namespace

int
main(int argc, char **argv)
{
	Options options;

	for (int i = 1; i + 1 < argc; i += 2) {
		std::string name = argv[i];
		uint64_t value = strtoull(argv[i + 1], nullptr, 10);

		if (name == "--seed")
			options.seed = value;
		else if (name == "--seconds")
			options.seconds = (uint32_t)value;
		else if (name == "--daemons")
			options.daemons = (uint32_t)value;
		else
			return 2;
	}
	curl_global_init(CURL_GLOBAL_ALL);
	return Soak(options).run();
}
