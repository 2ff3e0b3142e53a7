#include "handoff_fixture.h"

using namespace e2e;

namespace
{

TEST_F(Handoff, RequestsEndWholeWhenEitherSideStops)
{
	for (size_t stopped : { 0u, 1u }) {
		if (stopped == 0) {
			endpoint.set_script(stream_slowly(1200));
			start({ PASSES, TAKES, TAKES });
		}
		Response response;
		std::string id = "stop" + std::to_string(stopped);
		std::thread stopper([&] {
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(400));
			daemons[stopped]->signal(SIGTERM);
		});
		response = send("/flow/", id, "b", stopped == 0 ? 0 : 2);
		stopper.join();
		EXPECT_EQ(response.status, 200);
		EXPECT_TRUE(response.complete);
		EXPECT_NE(response.body.find("data: b"), std::string::npos);
		EXPECT_EQ(daemons[stopped]->wait_with_timeout(8000), 0);
		daemons[stopped].reset();
	}
}

/* Its next request would be cut off when the process ends. */
TEST_F(Handoff, APassedConnectionTakesNoRequestOnceTheDaemonStops)
{
	const std::string request = "GET /safe/ HTTP/1.1\r\nHost: a.example\r\n"
				    "X-Bamboorudder-Request-Id: kept\r\n"
				    "X-Bamboorudder-Deadline-Ms: 8000\r\n\r\n";

	endpoint.set_script(respond("whole"));
	start({ PASSES, TAKES, TAKES });
	Caller caller(listen_port(), request);
	EXPECT_EQ(caller.receive().rfind("HTTP/1.1 200", 0), 0u);
	daemons[0]->signal(SIGTERM);
	std::this_thread::sleep_for(std::chrono::milliseconds(500));
	caller.send_text(request);
	std::string response = caller.receive();
	EXPECT_EQ(response.rfind("HTTP/1.1 200", 0), 0u);
	EXPECT_NE(response.find("Connection: close"), std::string::npos);
	EXPECT_EQ(caller.receive(), "");
	EXPECT_EQ(daemons[0]->wait_with_timeout(5000), 0);
}

/* The peer goes on, but its answers end with the process that passes them on. */
TEST_F(Handoff, APeerStartsNoWorkThatMayOutlastTheDaemonThatStops)
{
	endpoint.set_script(count_runs());
	start({ PASSES, TAKES, TAKES });
	Caller late(listen_port(), ""), fits(listen_port(), "");
	std::this_thread::sleep_for(std::chrono::milliseconds(200));
	daemons[0]->signal(SIGTERM);
	std::this_thread::sleep_for(std::chrono::milliseconds(2000));
	late.send_text(hop_head(8000));
	fits.send_text(hop_head(2500));
	std::this_thread::sleep_for(std::chrono::milliseconds(1200));
	late.send_text("b");
	fits.send_text("b");
	EXPECT_EQ(late.receive().rfind("HTTP/1.1 503", 0), 0u);
	EXPECT_EQ(fits.receive().rfind("HTTP/1.1 200", 0), 0u);
	EXPECT_EQ(runs_count, 1);
	EXPECT_EQ(daemons[0]->wait_with_timeout(5000), 0);
}

/* What it is told first was queued long before it reads it. */
TEST_F(Handoff, APeerThatReadsOfAStopLateTakesNothingLate)
{
	endpoint.set_script(count_runs());
	start({ PASSES, TAKES, TAKES_NONE });
	Caller late(listen_port(), ""), outlasts(listen_port(), "");
	sleep_ms(300);
	daemons[1]->signal(SIGSTOP);
	daemons[0]->signal(SIGTERM);
	sleep_ms(1000);
	daemons[1]->signal(SIGCONT);
	sleep_ms(1300);
	late.send_text(hop_head(8000));
	outlasts.send_text("P");
	sleep_ms(1000);
	late.send_text("b");
	/* until 0.7 s after the end of the daemon's requests */
	outlasts.send_text((hop_head(2400) + "b").substr(1));
	EXPECT_EQ(late.receive().rfind("HTTP/1.1 503", 0), 0u);
	EXPECT_EQ(outlasts.receive().rfind("HTTP/1.1 503", 0), 0u);
	EXPECT_EQ(runs_count, 0);
	EXPECT_EQ(daemons[0]->wait_with_timeout(5000), 0);
	EXPECT_EQ(count_lines(1, "event=peer_stops"), 1u);
}

TEST_F(Handoff, AUsedPassedConnectionTakesNoLateRequest)
{
	endpoint.set_script(count_runs());
	start({ PASSES, TAKES, TAKES });
	Caller kept(listen_port(), hop_head(8000) + "b");
	EXPECT_EQ(kept.receive().rfind("HTTP/1.1 200", 0), 0u);
	daemons[0]->signal(SIGTERM);
	/* the peer closes it after 3 s without a request */
	sleep_ms(2750);
	kept.send_text(hop_head(8000) + "b");
	EXPECT_EQ(kept.receive().rfind("HTTP/1.1 503", 0), 0u);
	EXPECT_EQ(runs_count, 1);
	EXPECT_EQ(daemons[0]->wait_with_timeout(5000), 0);
}

/* The daemon that stops is paused, so that no later message stops it. */
TEST_F(Handoff, AConnectionThatComesAfterTheStopTakesNoLateRequest)
{
	const std::string mark = "event=peer_stops node=";

	endpoint.set_script(count_runs());
	start({ PASSES, TAKES, TAKES_NONE });
	Caller passed(listen_port(), "");
	sleep_ms(200);
	daemons[0]->signal(SIGTERM);
	sleep_ms(2500);
	daemons[0]->signal(SIGSTOP);
	sleep_ms(200);
	std::string log = daemons[1]->log();
	size_t at = log.find(mark);
	ASSERT_NE(at, std::string::npos);
	uint64_t node_id = htobe64(
	    std::stoull(log.substr(at + mark.size(), 16), nullptr, 16));
	Caller late(handoff_port(),
	    std::string(reinterpret_cast<const char *>(&node_id),
		sizeof(node_id)),
	    address(1));
	EXPECT_EQ(late.receive(), "\x01");
	late.send_text(hop_head(8000) + "b");
	EXPECT_EQ(late.receive().rfind("HTTP/1.1 503", 0), 0u);
	EXPECT_EQ(runs_count, 0);
	daemons[0]->signal(SIGCONT);
	EXPECT_EQ(daemons[0]->wait_with_timeout(8000), 0);
}

/* The process that passes its answer ends first. */
TEST_F(Handoff, APassedRequestThatStillRunsIsAnsweredBeforeTheDaemonEnds)
{
	auto released = std::make_shared<std::atomic<bool>>(false);

	endpoint.set_script(
	    [this, released](Connection &, const std::string &) {
		    runs_count++;
		    while (!*released)
			    sleep_ms(5);
	    });
	start({ PASSES, TAKES, TAKES });
	Caller caller(listen_port(), "");
	sleep_ms(200);
	daemons[0]->signal(SIGTERM);
	sleep_ms(300);
	caller.send_text(hop_head(9000) + "b");
	std::string response = caller.receive();
	*released = true;
	EXPECT_EQ(response.rfind("HTTP/1.1 504", 0), 0u) << response;
	EXPECT_NE(response.find("Content-Length: 0"), std::string::npos);
	EXPECT_NE(response.find("\r\n\r\n"), std::string::npos);
	EXPECT_EQ(runs_count, 1);
	EXPECT_NE(handled_by("hop"), 0u);
	EXPECT_EQ(daemons[0]->wait_with_timeout(5000), 0);
}

/* A connection without a request does not hold up the end of the process. */
TEST_F(Handoff, ADaemonThatStopsClosesConnectionsWithoutARequest)
{
	start({ PASSES, TAKES, TAKES });
	Caller caller(listen_port(), "");
	std::this_thread::sleep_for(std::chrono::milliseconds(200));
	daemons[0]->signal(SIGTERM);
	EXPECT_EQ(daemons[0]->wait_with_timeout(4500), 0);
}

} // namespace
