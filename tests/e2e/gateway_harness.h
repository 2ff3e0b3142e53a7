/**
 * @file
 * Fake of the platform's object store in the process of the test, and a daemon
 * whose gateway uses it.
 */
#ifndef TESTS_E2E_GATEWAY_HARNESS_H
#define TESTS_E2E_GATEWAY_HARNESS_H

#include <civetweb.h>
#include <gtest/gtest.h>
#include <jansson.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>

#include "fleet.h"
#include "scripted_endpoint.h"

namespace e2e
{

/* Sanitizers use memory of their own for each byte, and keep freed memory. */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool SANITIZED = true;
#else
constexpr bool SANITIZED = false;
#endif

/** Object store with paged lists, resumable watches and compaction. */
class FakeObjectStore
{
      public:
	static constexpr int SILENT = -1;

	FakeObjectStore() : port_(free_port())
	{
		std::string port = "127.0.0.1:" + std::to_string(port_);
		const char *options[] = { "listening_ports", port.c_str(),
			"num_threads", "12", "enable_keep_alive", "yes",
			nullptr };
		mg_callbacks callbacks = {};

		callbacks.begin_request = on_request;
		server_ = mg_start(&callbacks, this, options);
		EXPECT_NE(server_, nullptr);
	}

	~FakeObjectStore()
	{
		{
			std::lock_guard<std::mutex> lock(mutex_);
			stopping_ = true;
			changed_.notify_all();
		}
		mg_stop(server_);
	}

	FakeObjectStore(const FakeObjectStore &) = delete;
	FakeObjectStore &operator=(const FakeObjectStore &) = delete;

	std::string url() const
	{
		return "http://127.0.0.1:" + std::to_string(port_);
	}

	/** Creates or replaces an object. @param spec JSON text */
	void put(const std::string &kind, const std::string &name,
	    const std::string &spec)
	{
		std::lock_guard<std::mutex> lock(mutex_);

		put_locked(kind, name, spec);
	}

	void remove(const std::string &kind, const std::string &name)
	{
		std::lock_guard<std::mutex> lock(mutex_);

		++revision_;
		events_.push_back(
		    { revision_, kind, objects_[kind][name], true });
		objects_[kind].erase(name);
		changed_.notify_all();
	}

	/** Discards the history: watches from an earlier revision get a 410. */
	void compact()
	{
		std::lock_guard<std::mutex> lock(mutex_);

		events_.clear();
		compacted_revision_ = ++revision_;
		changed_.notify_all();
	}

	/** Keeps a copy of all objects and of the history. */
	void keep_copy()
	{
		std::lock_guard<std::mutex> lock(mutex_);

		copy_ = { objects_, events_, revision_ };
	}

	/** Goes back to the copy: later revisions are given out again. */
	void restore()
	{
		std::lock_guard<std::mutex> lock(mutex_);

		restore_locked();
	}

	/** Restores the store just before it returns the next page after the
	 * first one of a list, and replaces an endpoint's entry. Further changes
	 * are of other kinds. */
	void restore_before_next_page(const std::string &name,
	    const std::string &spec, uint32_t further_count)
	{
		std::lock_guard<std::mutex> lock(mutex_);

		before_page_ = [this, name, spec, further_count] {
			restore_locked();
			put_locked("servers", name, spec);
			revision_ += further_count;
		};
	}

	/** Makes all further calls fail with an HTTP status, or, with SILENT,
	 * get no response; 0 ends that. */
	void fail_with(int status)
	{
		std::lock_guard<std::mutex> lock(mutex_);

		failure_status_ = status;
		changed_.notify_all();
	}

	uint64_t revision()
	{
		std::lock_guard<std::mutex> lock(mutex_);

		return revision_;
	}

	/** @return number of calls for a kind so far */
	uint32_t call_count(const std::string &kind)
	{
		std::lock_guard<std::mutex> lock(mutex_);

		return call_counts_[kind];
	}

	/** @return number of calls so far that allowed a stale response */
	uint32_t stale_call_count()
	{
		std::lock_guard<std::mutex> lock(mutex_);

		return stale_call_count_;
	}

	/** While set, calls that allow a stale response get the objects that
	 * the store had when it was set. */
	void serve_stale(bool stale)
	{
		std::lock_guard<std::mutex> lock(mutex_);

		stale_ = stale;
		stale_objects_ = objects_;
		stale_revision_ = revision_;
		stale_restores_count_ = restores_count_;
	}

	/** Maximum number of objects in a page of a list. */
	std::atomic<size_t> page_size{ 500 };
	/** A watch began at an earlier revision than one before it. */
	std::atomic<bool> watched_backwards{ false };

      private:
	struct Event {
		uint64_t revision;
		std::string kind;
		std::string object;
		bool deleted;
	};

	static int on_request(mg_connection *connection)
	{
		auto *info = mg_get_request_info(connection);
		auto *store = static_cast<FakeObjectStore *>(info->user_data);
		std::string uri = info->local_uri;
		std::string query = info->query_string == nullptr
		    ? ""
		    : info->query_string;
		std::string body;
		uint32_t restores_count = 0;
		int status = store->respond(uri.substr(uri.rfind('/') + 1),
		    query, &body, &restores_count);
		if (status == SILENT)
			status = store->stay_silent();

		mg_printf(connection,
		    "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
		    "Store-Era: %u\r\nContent-Length: %zu\r\n\r\n%s",
		    status, restores_count + 1, body.size(), body.c_str());
		return 1;
	}

	static std::string parameter(const std::string &query,
	    const std::string &name)
	{
		char value[128];

		return mg_get_var(query.c_str(), query.size(), name.c_str(),
			   value, sizeof(value)) > 0
		    ? value
		    : "";
	}

	/** Outlasts the timeout of the caller. */
	int stay_silent()
	{
		std::unique_lock<std::mutex> lock(mutex_);

		changed_.wait_for(lock, std::chrono::milliseconds(2000),
		    [&] { return stopping_; });
		return 503;
	}

	void put_locked(const std::string &kind, const std::string &name,
	    const std::string &spec)
	{
		std::string object = "{\"metadata\":{\"name\":\"" + name +
		    "\",\"revision\":" + std::to_string(++revision_) +
		    ",\"created\":1,\"finalizers\":[],"
		    "\"deletion_pending\":false},\"spec\":" +
		    spec + ",\"status\":null}";

		objects_[kind][name] = object;
		events_.push_back({ revision_, kind, object, false });
		changed_.notify_all();
	}

	void restore_locked()
	{
		objects_ = copy_.objects;
		events_ = copy_.events;
		revision_ = copy_.revision;
		last_watched_revisions_.clear();
		restores_count_++;
		changed_.notify_all();
	}

	int respond(const std::string &kind, const std::string &query,
	    std::string *body, uint32_t *restores_count)
	{
		std::unique_lock<std::mutex> lock(mutex_);
		int status = respond_locked(lock, kind, query, body);
		bool stale = stale_ && !parameter(query, "allow_stale").empty();

		*restores_count = stale ? stale_restores_count_
					: restores_count_;
		return status;
	}

	int respond_locked(std::unique_lock<std::mutex> &lock,
	    const std::string &kind, const std::string &query,
	    std::string *body)
	{
		std::string from = parameter(query, "watch");

		call_counts_[kind]++;
		if (!from.empty() &&
		    std::stoull(from) < last_watched_revisions_[kind])
			watched_backwards = true;
		if (!from.empty())
			last_watched_revisions_[kind] = std::stoull(from);
		bool allows_stale = !parameter(query, "allow_stale").empty();
		stale_call_count_ += allows_stale;
		if (failure_status_ != 0)
			return failure_status_;
		if (allows_stale && stale_)
			return respond_stale(kind, from, body);
		if (!from.empty())
			return watch(lock, kind, std::stoull(from),
			    (uint32_t)std::stoul(parameter(query, "wait_ms")),
			    body);
		if (before_page_ && !parameter(query, "after").empty()) {
			before_page_();
			before_page_ = nullptr;
		}
		list(objects_[kind], parameter(query, "after"), revision_,
		    body);
		return 200;
	}

	int respond_stale(const std::string &kind, const std::string &from,
	    std::string *body)
	{
		if (!from.empty())
			*body = "{\"events\":[" +
			    events_between(kind, std::stoull(from),
				stale_revision_) +
			    "],\"at\":" + std::to_string(stale_revision_) + "}";
		else
			list(stale_objects_[kind], "", stale_revision_, body);
		return 200;
	}

	void list(const std::map<std::string, std::string> &objects,
	    const std::string &after, uint64_t revision, std::string *body)
	{
		std::string entries;
		size_t count = 0;
		bool has_more = false;

		for (const auto &[name, object] : objects) {
			if (name <= after)
				continue;
			if (count == page_size) {
				has_more = true;
				break;
			}
			entries += (count++ == 0 ? "" : ",") + object;
		}
		*body = "{\"entries\":[" + entries +
		    "],\"has_more\":" + (has_more ? "true" : "false") +
		    ",\"at\":" + std::to_string(revision) + "}";
	}

	/** Events after a revision, up to another one. */
	std::string events_between(const std::string &kind, uint64_t from,
	    uint64_t to)
	{
		std::string events;

		for (const auto &event : events_)
			if (event.revision > from && event.revision <= to &&
			    event.kind == kind)
				events += std::string(
					      events.empty() ? "" : ",") +
				    "{\"deleted\":" +
				    (event.deleted ? "true" : "false") +
				    ",\"object\":" + event.object + "}";
		return events;
	}

	int watch(std::unique_lock<std::mutex> &lock, const std::string &kind,
	    uint64_t from, uint32_t wait_ms, std::string *body)
	{
		std::string events;
		auto find = [&] {
			events = events_between(kind, from, UINT64_MAX);
			return stopping_ || failure_status_ != 0 ||
			    from < compacted_revision_ || from > revision_ ||
			    !events.empty();
		};

		changed_.wait_for(lock, std::chrono::milliseconds(wait_ms),
		    find);
		if (failure_status_ != 0)
			return failure_status_;
		if (from < compacted_revision_ || from > revision_)
			return 410;
		*body = "{\"events\":[" + events +
		    "],\"at\":" + std::to_string(revision_) + "}";
		return 200;
	}

	uint16_t port_;
	mg_context *server_;
	std::mutex mutex_;
	std::condition_variable changed_;
	std::map<std::string, std::map<std::string, std::string>> objects_;
	std::map<std::string, uint32_t> call_counts_;
	uint32_t stale_call_count_ = 0;
	std::map<std::string, uint64_t> last_watched_revisions_;
	bool stale_ = false;
	std::map<std::string, std::map<std::string, std::string>>
	    stale_objects_;
	uint64_t stale_revision_ = 0;
	uint32_t stale_restores_count_ = 0;
	std::deque<Event> events_;
	uint64_t revision_ = 10;
	struct Copy {
		std::map<std::string, std::map<std::string, std::string>>
		    objects;
		std::deque<Event> events;
		uint64_t revision = 0;
	} copy_;
	uint32_t restores_count_ = 0;
	std::function<void()> before_page_;
	uint64_t compacted_revision_ = 0;
	int failure_status_ = 0;
	bool stopping_ = false;
};

/** Spec of the object by which an endpoint registers itself. */
inline std::string
endpoint_entry_json(const std::string &backend, const std::string &address,
    const std::string &phase = "ready", uint32_t slots = 4)
{
	return "{\"backend\":\"" + backend + "\",\"address\":\"" + address +
	    "\",\"zone\":\"z1\",\"version\":\"v1\",\"batch_slots\":" +
	    std::to_string(slots) + ",\"phase\":\"" + phase +
	    "\",\"warmup_remaining_ms\":0,\"sequence\":1,\"born\":5}";
}

struct RouteSpec {
	std::string prefix, kind;
	uint32_t attempts = 1;
	bool anonymous = true;
	bool resumable = false;
	uint32_t timeout_ms = 10000;
	std::string backend = "app";
};

inline constexpr char DEFAULT_LIMITS[] =
    "\"max_body_bytes\":65536,\"idle_timeout_ms\":15000";

inline std::string
configuration_json(uint64_t version, const std::vector<RouteSpec> &routes,
    const std::string &accounts = "",
    const std::string &limits = DEFAULT_LIMITS)
{
	std::string text = "{\"version\":" + std::to_string(version) +
	    ",\"routes\":[";

	for (size_t i = 0; i < routes.size(); i++) {
		const RouteSpec &route = routes[i];
		text += std::string(i == 0 ? "" : ",") + "{\"name\":\"r" +
		    std::to_string(i) +
		    "\",\"hostname\":\"a.example\",\"path_prefix\":\"" +
		    route.prefix + "\",\"route_type\":\"" + route.kind +
		    "\",\"timeout_ms\":" + std::to_string(route.timeout_ms) +
		    ",\"target_latency_ms\":400,\"priority\":1,\"backend\":\"" +
		    route.backend +
		    "\",\"max_attempts\":" + std::to_string(route.attempts) +
		    ",\"anonymous\":" + (route.anonymous ? "true" : "false") +
		    ",\"stream_resume\":" +
		    (route.resumable ? "true" : "false") + "}";
	}
	return text +
	    "],\"backends\":[{\"name\":\"app\",\"health_path\":\"/h\"}],"
	    "\"limits\":{" +
	    limits + "},\"tenants\":[" + accounts + "]}";
}

/** Complete HTTP response of an endpoint to a request. */
inline std::string
response_text(const std::string &request, const std::string &body,
    const std::string &status = "200 OK", const std::string &extra_headers = "")
{
	size_t id_start = request.find("X-Bamboorudder-Request-Id: ") + 27;
	std::string id = request.substr(id_start,
	    request.find("\r\n", id_start) - id_start);

	return "HTTP/1.1 " + status + "\r\nX-Bamboorudder-Request-Id: " + id +
	    "\r\nX-Bamboorudder-Replica-Signature: sig\r\n" + extra_headers +
	    "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
	    body;
}

/** An object store, a daemon and the endpoints that the test adds. */
class GatewayHarness
{
      public:
	explicit GatewayHarness(const std::string &platform_settings = "",
	    const std::string &extra_settings = "",
	    const std::string &listen_settings = "",
	    const std::string &admin_settings = "")
	    : listen_port(free_port()), readiness_port(free_port()),
	      admin_port(free_port()), peer_port(free_port()),
	      directory(::testing::TempDir() + "bamboorudder-gateway-XXXXXX")
	{
		EXPECT_NE(mkdtemp(directory.data()), nullptr);

		std::ofstream file(directory + "/daemon.toml");

		file << "[listen]\naddress = \"127.0.0.1:" << listen_port
		     << "\"\nreadiness_address = \"127.0.0.1:" << readiness_port
		     << "\"\n"
		     << listen_settings
		     << "\n[admin]\naddress = \"127.0.0.1:" << admin_port
		     << "\"\n"
		     << admin_settings
		     << "[peer]\naddress = \"127.0.0.1:" << peer_port
		     << "\"\nfailure_domain = \"z1\"\n[platform]\n"
		     << "form = \"objects\"\nurl = \"" << store.url()
		     << "\"\nwatch_wait_ms = 300\n"
		     << platform_settings << "\n[retry]\nslack = 100\n"
		     << extra_settings;
		file.close();
		daemon = std::make_unique<
		    Process>(std::vector<std::string>{ getenv("BAMBOORUDDERD"),
				 directory + "/daemon.toml" },
		    directory + "/daemon.log");
	}

	~GatewayHarness()
	{
		daemon.reset();
		if (!::testing::Test::HasFailure())
			std::filesystem::remove_all(directory);
	}

	GatewayHarness(const GatewayHarness &) = delete;
	GatewayHarness &operator=(const GatewayHarness &) = delete;

	void add_endpoint(const std::string &name,
	    const ScriptedEndpoint &endpoint)
	{
		store.put("servers", name,
		    endpoint_entry_json("app", endpoint.address()));
	}

	bool is_ready()
	{
		return send_request("GET",
			   "http://127.0.0.1:" +
			       std::to_string(readiness_port) + "/readyz")
			   .status == 200;
	}

	/** Returns whether the daemon has logged the endpoint. A daemon can be
	 * ready before it receives the event of an endpoint that was added
	 * after it had listed the endpoints. */
	bool discovered(const std::string &name)
	{
		return daemon->log().find("name=" + name + " ") !=
		    std::string::npos;
	}

	Response send(const std::string &method, const std::string &path,
	    std::vector<std::string> headers = {}, const std::string &body = "",
	    uint32_t timeout_ms = 10000)
	{
		headers.push_back("Host: a.example");
		headers.push_back("X-Bamboorudder-Request-Id: id" +
		    std::to_string(++last_request_id));
		headers.push_back("X-Bamboorudder-Deadline-Ms: 8000");
		return send_request(method,
		    "http://127.0.0.1:" + std::to_string(listen_port) + path,
		    body, headers, timeout_ms);
	}

	/** @return most memory that the daemon has had so far */
	uint64_t memory_peak_kb() const
	{
		std::ifstream status(
		    "/proc/" + std::to_string(daemon->pid()) + "/status");
		std::string line;

		while (std::getline(status, line))
			if (line.rfind("VmHWM:", 0) == 0)
				return std::stoull(line.substr(6));
		return 0;
	}

	/** @return descriptors that the daemon has open */
	size_t open_files() const
	{
		std::filesystem::directory_iterator files(
		    "/proc/" + std::to_string(daemon->pid()) + "/fd");

		return (size_t)std::distance(begin(files), end(files));
	}

	/** Waits for a text in a log line of the request that was sent last. */
	bool logged(const std::string &text)
	{
		std::string id = "id=id" + std::to_string(last_request_id) +
		    " ";

		return eventually([&] {
			std::istringstream log(daemon->log());
			std::string line;
			while (std::getline(log, line))
				if (line.find(id) != std::string::npos &&
				    line.find(text) != std::string::npos)
					return true;
			return false;
		});
	}

	FakeObjectStore store;
	uint16_t listen_port, readiness_port, admin_port, peer_port;
	std::string directory;
	std::unique_ptr<Process> daemon;
	uint32_t last_request_id = 0;
};

} // namespace e2e

#endif
