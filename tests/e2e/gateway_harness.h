/**
 * @file
 * A daemon whose gateway uses a fake of the platform's object store.
 */
#ifndef TESTS_E2E_GATEWAY_HARNESS_H
#define TESTS_E2E_GATEWAY_HARNESS_H

#include <gtest/gtest.h>
#include <jansson.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>

#include "fake_object_store.h"
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
