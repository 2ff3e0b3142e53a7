/**
 * @file
 * Fixture with daemons and services that log each booking that they run. Tests
 * use it to check that requests run at most once and that requests refused as
 * not run were not run.
 */
#ifndef TESTS_E2E_AT_MOST_ONCE_H
#define TESTS_E2E_AT_MOST_ONCE_H

#include <gtest/gtest.h>

#include <future>
#include <sstream>

#include "fleet.h"

namespace e2e
{

inline const std::string SETTINGS = "request.queue_timeout_ms = 4000\n"
				    "request.connect_timeout_ms = 300\n"
				    "request.idle_timeout_ms = 2000\n"
				    "request.timeout_ms = 4000\n"
				    "platform.timeout_ms = 300\n"
				    "platform.watch_wait_ms = 1000\n"
				    "peer.heartbeat_period_ms = 200\n"
				    "peer.down_after_ms = 1000\n"
				    "claims.clock_margin_ms = 100\n";

inline std::string
booking_body(const std::string &id)
{
	return "{\"booking\": \"" + id + "\"}";
}

inline std::vector<std::string>
request_headers(const std::string &key)
{
	std::vector<std::string> lines = { "Authorization: Bearer key-a",
		"Content-Type: application/json" };

	if (!key.empty())
		lines.push_back("Idempotency-Key: " + key);
	return lines;
}

class AtMostOnce : public ::testing::Test
{
      protected:
	explicit AtMostOnce(const std::string &extra_settings = "")
	    : fleet(SETTINGS + extra_settings)
	{
	}

	void start_fleet(size_t daemon_count, size_t service_count,
	    uint32_t slots)
	{
		for (size_t i = 0; i < service_count; i++)
			services.push_back(fleet.add_service());
		fleet.add_daemons(daemon_count);
		fleet.apply_table("pools",
		    table_json(service_pool_row("bookings", services, slots)));
		fleet.apply_table("routes",
		    table_json(
			route_row("a", "key-a", "/bookings", "bookings") + "," +
			route_row("b", "key-b", "/bookings", "bookings",
			    ", \"repeat\": \"always\"")));
		fleet.wait_ready();
	}

	Response book(size_t daemon, const std::string &id,
	    const std::string &key = "")
	{
		return send_request("POST",
		    fleet.daemons[daemon].url("/bookings"), booking_body(id),
		    request_headers(key), 20000);
	}

	std::future<Response> book_async(size_t daemon, const std::string &id,
	    const std::string &key = "")
	{
		return std::async(std::launch::async,
		    [=] { return book(daemon, id, key); });
	}

	void configure_service(size_t index, const std::string &query)
	{
		send_request("POST",
		    "http://" + services[index] + "/standin/set?" + query);
	}

	void inject_platform_fault(const std::string &query)
	{
		send_request("POST",
		    fleet.platform_url("/standin/faults?" + query));
	}

	/* Reads the logs, which remain available for killed services. */
	uint32_t run_count(const std::string &id)
	{
		uint32_t count = 0;

		for (const auto &address : services) {
			std::istringstream log(fleet.endpoints[address]->log());
			for (std::string line; std::getline(log, line);)
				count += line == "run " + id;
		}
		return count;
	}

	bool wait_until_run(const std::string &id)
	{
		return eventually([&] { return run_count(id) > 0; });
	}

	Fleet fleet;
	std::vector<std::string> services;
};

inline void
expect_error(const Response &response, long status, const std::string &type,
    const std::string &run)
{
	EXPECT_EQ(response.status, status) << response.body << response.error;
	EXPECT_NE(response.body.find("\"type\":\"" + type + "\""),
	    std::string::npos)
	    << response.body;
	EXPECT_EQ(response.headers.count("bamboorudder-run"), 1u);
	if (response.headers.count("bamboorudder-run") == 1) {
		EXPECT_EQ(response.headers.at("bamboorudder-run"), run);
	}
}

} // namespace e2e

#endif
