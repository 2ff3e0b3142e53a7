#include <curl/curl.h>
#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <memory>
#include <thread>

#include "fleet.h"

using namespace e2e;

namespace
{

const std::vector<std::string> AUTHORIZATION = {
	"Authorization: Bearer key-a"
};

std::string
completion_body(int tokens)
{
	return "{\"messages\": [], \"stream\": true, \"standin_tokens\": " +
	    std::to_string(tokens) + "}";
}

class Shutdown : public ::testing::Test
{
      protected:
	void start_fleet(size_t count, uint32_t slots = 8)
	{
		engine = fleet.add_engine(16, 10000);
		service = fleet.add_service();
		fleet.add_daemons(count);
		fleet.apply_table("pools",
		    table_json(model_pool_row("chat", { engine }, slots) + "," +
			service_pool_row("bookings", { service }, 16)));
		fleet.apply_table("routes",
		    table_json(route_row("a", "key-a", "/v1/chat", "chat") +
			"," +
			route_row("a", "key-a", "/bookings", "bookings")));
		fleet.wait_ready();
	}

	std::thread start_chat(int tokens, Response &response)
	{
		return std::thread([this, tokens, &response] {
			response = send_request("POST",
			    fleet.daemons[0].url("/v1/chat/completions"),
			    completion_body(tokens), AUTHORIZATION);
		});
	}

	bool wait_for_started_requests(int count)
	{
		return eventually([&] {
			return send_request("GET",
				   "http://" + engine + "/standin/counts")
				   .body.find("\"started\":" +
				       std::to_string(count)) !=
			    std::string::npos;
		});
	}

	/* Sends a booking to one daemon after another, as a load balancer does,
	 * until a daemon does not refuse it as not run. */
	Response book_until_accepted(const std::string &id, size_t first)
	{
		Response response;

		for (size_t i = 0; i < 200; i++) {
			size_t index = (first + i) % fleet.daemons.size();
			response = send_request("POST",
			    fleet.daemons[index].url("/bookings"),
			    "{\"booking\": \"" + id + "\"}", AUTHORIZATION);
			auto &headers = response.headers;
			if (!response.connection_refused &&
			    headers["bamboorudder-run"] != "not-run")
				return response;
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(10));
		}
		return response;
	}

	Fleet fleet{ "shutdown.drain_timeout_ms = 20000\n" };
	std::string engine, service;
};

} // namespace

TEST_F(Shutdown, RunningStreamCompletesAndNewRequestsAreRefusedAsNotRun)
{
	Response running, refused;

	start_fleet(2);
	std::thread caller = start_chat(150, running);
	ASSERT_TRUE(wait_for_started_requests(1));
	fleet.daemons[0].process->signal(SIGTERM);
	EXPECT_TRUE(eventually([&] {
		return send_request("GET",
			   fleet.daemons[0].admin_url("/readyz"))
			   .status == 503;
	}));
	refused = send_request("POST", fleet.daemons[0].url("/bookings"),
	    "{\"booking\": \"late\"}", AUTHORIZATION);
	EXPECT_EQ(refused.status, 503) << refused.body;
	EXPECT_EQ(refused.headers["bamboorudder-run"], "not-run");
	EXPECT_EQ(refused.headers["connection"], "close");
	caller.join();
	EXPECT_TRUE(running.complete) << running.error;
	EXPECT_NE(running.body.find("[DONE]"), std::string::npos);
	EXPECT_EQ(fleet.daemons[0].process->wait_with_timeout(20000), 0);
	EXPECT_EQ(send_request("GET", "http://" + service + "/standin/runs")
		      .body,
	    "{}");
}

TEST_F(Shutdown, WaitingRequestIsRefusedAsNotRun)
{
	Response running, waiting;

	start_fleet(2, 1);
	std::thread first = start_chat(150, running);
	ASSERT_TRUE(wait_for_started_requests(1));
	std::thread second = start_chat(1, waiting);
	EXPECT_TRUE(eventually([&] {
		return send_request("GET",
			   fleet.daemons[0].admin_url("/metrics"))
			   .body.find("requests_waiting 1\n") !=
		    std::string::npos;
	}));
	fleet.daemons[0].process->signal(SIGTERM);
	second.join();
	EXPECT_EQ(waiting.status, 503) << waiting.body;
	EXPECT_EQ(waiting.headers["bamboorudder-run"], "not-run");
	first.join();
	EXPECT_TRUE(running.complete);
	EXPECT_EQ(fleet.daemons[0].process->wait_with_timeout(20000), 0);
}

TEST_F(Shutdown, SecondSignalAbortsShutdown)
{
	Response running;

	start_fleet(2);
	std::thread caller = start_chat(2000, running);
	ASSERT_TRUE(wait_for_started_requests(1));
	fleet.daemons[0].process->signal(SIGTERM);
	EXPECT_TRUE(eventually([&] {
		return fleet.daemons[0].process->log().find("draining") !=
		    std::string::npos;
	}));
	fleet.daemons[0].process->signal(SIGTERM);
	EXPECT_EQ(fleet.daemons[0].process->wait_with_timeout(10000), 1);
	caller.join();
	EXPECT_FALSE(running.complete);
	EXPECT_EQ(running.body.find("[DONE]"), std::string::npos);
}

TEST_F(Shutdown, AnotherDaemonTakesOverTheQueues)
{
	start_fleet(3);
	for (size_t i = 0; i < 2; i++) {
		fleet.daemons[i].process->signal(SIGTERM);
		EXPECT_EQ(fleet.daemons[i].process->wait_with_timeout(20000),
		    0);
	}
	Response response = send_request("POST",
	    fleet.daemons[2].url("/bookings"), "{\"booking\": \"b\"}",
	    AUTHORIZATION);
	EXPECT_EQ(response.status, 201) << response.body;
}

TEST_F(Shutdown, RollingRestartUnderLoadLosesNoRequest)
{
	constexpr size_t DAEMONS = 8, CALLERS = 12;
	std::atomic<bool> stopping{ false };
	std::atomic<int> sent{ 0 }, lost{ 0 };
	std::vector<std::thread> callers;

	start_fleet(DAEMONS);
	for (size_t i = 0; i < CALLERS; i++)
		callers.emplace_back([&, i] {
			for (size_t n = 0; !stopping; n++) {
				std::string id = std::to_string(i) + "-" +
				    std::to_string(n);
				Response response = book_until_accepted(id,
				    i + n);
				sent++;
				std::this_thread::sleep_for(
				    std::chrono::milliseconds(2));
				if (response.status != 201) {
					lost++;
					ADD_FAILURE()
					    << id << ": " << response.status
					    << " " << response.error << " "
					    << response.body;
				}
			}
		});
	for (size_t i = 0; i < DAEMONS; i++) {
		fleet.daemons[i].process->signal(SIGTERM);
		EXPECT_EQ(fleet.daemons[i].process->wait_with_timeout(20000),
		    0);
		fleet.start(i);
		EXPECT_TRUE(eventually([&] {
			return send_request("GET",
				   fleet.daemons[i].admin_url("/readyz"))
				   .status == 200;
		}));
	}
	stopping = true;
	for (auto &caller : callers)
		caller.join();
	EXPECT_EQ(lost, 0);
	EXPECT_GT(sent, 100);
	std::string runs =
	    send_request("GET", "http://" + service + "/standin/runs").body;
	EXPECT_EQ(runs.find(":2"), std::string::npos);
	printf("bookings=%d lost=%d\n", sent.load(), lost.load());
}

TEST_F(Shutdown, KeepAliveConnectionsCloseWithoutLostRequest)
{
	CURL *handle = curl_easy_init();
	curl_slist *list = curl_slist_append(nullptr, "Expect:");
	long status = 0;

	start_fleet(2);
	list = curl_slist_append(list, AUTHORIZATION[0].c_str());
	std::string url = fleet.daemons[0].url("/bookings");
	curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
	curl_easy_setopt(handle, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(handle, CURLOPT_POSTFIELDS, "{\"booking\": \"k\"}");
	curl_easy_setopt(
	    handle, CURLOPT_WRITEFUNCTION,
	    +[](char *, size_t size, size_t count, void *) {
		    return size * count;
	    });
	EXPECT_EQ(curl_easy_perform(handle), CURLE_OK);
	fleet.daemons[0].process->signal(SIGTERM);
	EXPECT_TRUE(eventually([&] {
		return send_request("GET",
			   fleet.daemons[0].admin_url("/readyz"))
			   .status == 503;
	}));
	EXPECT_EQ(curl_easy_perform(handle), CURLE_OK);
	curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
	EXPECT_EQ(status, 503);
	curl_slist_free_all(list);
	curl_easy_cleanup(handle);
	EXPECT_EQ(fleet.daemons[0].process->wait_with_timeout(20000), 0);
}
