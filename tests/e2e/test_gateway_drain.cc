#include <sys/stat.h>

#include "gateway_fixture.h"

using namespace e2e;

namespace
{

std::string
request_head(const std::string &method, const std::string &path,
    const std::string &id, uint32_t deadline_ms = 9000)
{
	return method + " " + path +
	    " HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1\r\n"
	    "X-Bamboorudder-Request-Id: " +
	    id +
	    "\r\nX-Bamboorudder-Deadline-Ms: " + std::to_string(deadline_ms) +
	    "\r\n\r\n";
}

/** A daemon that stops while a request runs. */
class GatewayDrain : public Gateway
{
      protected:
	/** The first request on each path runs until it is released and then gets
	 * no response; all later ones are counted and answered. */
	void start_and_hold()
	{
		auto script = [this](Connection &connection,
				  const std::string &request) {
			if (request.find(" /once/hold") != std::string::npos ||
			    (request.find("first") != std::string::npos &&
				!begun_[request[1]].exchange(true))) {
				while (!released)
					sleep_ms(5);
				return;
			}
			first_request_count++;
			connection.send_text(response_text(request, "whole"));
		};

		first_endpoint.set_script(script);
		second_endpoint.set_script(script);
		harness.add_endpoint("e2", second_endpoint);
		start();
		hold_ = std::make_unique<Caller>(harness.listen_port,
		    request_head("POST", "/once/hold", "hold") + "b");
		sleep_ms(300);
	}

	void start_and_stop()
	{
		start_and_hold();
		signal_stop();
	}

	void signal_stop()
	{
		harness.daemon->signal(SIGTERM);
		signalled_ = std::chrono::steady_clock::now();
	}

	void wait_until_ms(uint32_t after_signal_ms) const
	{
		std::this_thread::sleep_until(
		    signalled_ + std::chrono::milliseconds(after_signal_ms));
	}

	static void sleep_ms(uint32_t duration_ms)
	{
		std::this_thread::sleep_for(
		    std::chrono::milliseconds(duration_ms));
	}

	std::atomic<bool> released{ false };

      private:
	std::array<std::atomic<bool>, 128> begun_{};
	std::unique_ptr<Caller> hold_;
	std::chrono::steady_clock::time_point signalled_;
};

/* Nothing that a caller sends 3 s after the signal may be taken and cut. */
TEST_F(GatewayDrain, AHeadThatIsReadNearlyThreeSecondsLateStartsNoLongWork)
{
	start_and_stop();
	wait_until_ms(2000);
	Caller early(harness.listen_port,
	    request_head("POST", "/once/", "early") + "b");
	EXPECT_EQ(early.receive().rfind("HTTP/1.1 200", 0), 0u);
	wait_until_ms(2750);
	Caller late(harness.listen_port,
	    request_head("POST", "/once/", "late") + "b");
	EXPECT_EQ(late.receive().rfind("HTTP/1.1 503", 0), 0u);
	Caller fits(harness.listen_port,
	    request_head("POST", "/once/", "fits", 3500) + "b");
	EXPECT_EQ(fits.receive().rfind("HTTP/1.1 200", 0), 0u);
	released = true;
	EXPECT_EQ(harness.daemon->wait_with_timeout(8000), 0);
}

TEST_F(GatewayDrain, ABodyThatEndsLateStartsNoWorkThatMayOutlastTheProcess)
{
	start_and_stop();
	wait_until_ms(2300);
	Caller late(harness.listen_port,
	    request_head("POST", "/once/", "late"));
	Caller fits(harness.listen_port,
	    request_head("POST", "/once/", "fits", 4000));
	wait_until_ms(3200);
	late.send_text("b");
	std::string response = late.receive();
	EXPECT_EQ(response.rfind("HTTP/1.1 503", 0), 0u) << response;
	EXPECT_NE(response.find("Retry-After: "), std::string::npos);
	EXPECT_EQ(first_request_count, 0);
	fits.send_text("b");
	EXPECT_EQ(fits.receive().rfind("HTTP/1.1 200", 0), 0u);
	released = true;
	EXPECT_EQ(harness.daemon->wait_with_timeout(8000), 0);
	EXPECT_NE(harness.daemon->log().find(
		      "id=late route=r1 account=- via=- outcome=shutting_down"),
	    std::string::npos);
}

TEST_F(GatewayDrain, NoAttemptThatMayOutlastTheProcessFollowsALostOne)
{
	start_and_stop();
	wait_until_ms(1500);
	Caller safe(harness.listen_port,
	    request_head("GET", "/safe/first", "safe") + "b");
	Caller again(harness.listen_port,
	    request_head("POST", "/again/first", "again") + "b");
	wait_until_ms(3200);
	released = true;
	EXPECT_EQ(safe.receive().rfind("HTTP/1.1 502", 0), 0u);
	EXPECT_EQ(again.receive().rfind("HTTP/1.1 502", 0), 0u);
	EXPECT_EQ(first_request_count, 0);
	EXPECT_EQ(harness.daemon->wait_with_timeout(8000), 0);
}

/* The settings can't be read for a while as the signal comes. */
TEST_F(GatewayDrain, ASignalDuringAReloadCountsFromWhenItCame)
{
	start_and_hold();
	std::string path = harness.directory + "/daemon.toml";
	std::filesystem::rename(path, path + ".old");
	ASSERT_EQ(mkfifo(path.c_str(), 0600), 0);
	harness.daemon->signal(SIGHUP);
	sleep_ms(100);
	signal_stop();
	wait_until_ms(1500);
	std::ofstream(path) << std::ifstream(path + ".old").rdbuf();
	wait_until_ms(3200);
	Caller late(harness.listen_port,
	    request_head("POST", "/once/", "late") + "b");
	EXPECT_EQ(late.receive().rfind("HTTP/1.1 503", 0), 0u);
	EXPECT_EQ(first_request_count, 0);
	released = true;
	EXPECT_EQ(harness.daemon->wait_with_timeout(8000), 0);
}

TEST_F(GatewayDrain, ASecondSignalLeavesNoRequestWithoutAnAnswer)
{
	start_and_stop();
	wait_until_ms(500);
	Caller running(harness.listen_port,
	    request_head("POST", "/again/first", "running") + "b");
	wait_until_ms(1000);
	harness.daemon->signal(SIGTERM);
	EXPECT_EQ(running.receive().rfind("HTTP/1.1 504", 0), 0u);
	EXPECT_EQ(harness.daemon->wait_with_timeout(5000), 0);
	released = true;
}

class GatewayOperatorDrain : public Gateway
{
      protected:
	GatewayOperatorDrain()
	    : Gateway("", "",
		  "tokens = [\"editor:edit:" + sha256("editor-token") + "\"]\n")
	{
	}
};

/* There was no hub left to choose from: the next request ended the daemon. */
TEST_F(GatewayOperatorDrain, OfTheLastDaemonLeavesItServing)
{
	first_endpoint.set_script(count_and_respond(&first_request_count));
	start();
	ASSERT_EQ(harness.send("GET", "/safe/").status, 200);
	ASSERT_EQ(send_request("POST",
		      "http://127.0.0.1:" + std::to_string(harness.admin_port) +
			  "/v1/drain",
		      "", { "Authorization: Bearer editor-token" })
		      .status,
	    202);
	std::this_thread::sleep_for(std::chrono::milliseconds(500));
	for (int i = 1; i <= 3; i++) {
		Response response = harness.send("GET", "/safe/");
		EXPECT_EQ(response.status, 200) << response.error;
		EXPECT_EQ(first_request_count, 1 + i);
	}
}

} // namespace
