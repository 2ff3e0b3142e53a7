#include <sys/wait.h>

#include "handoff_fixture.h"

using namespace e2e;

namespace
{

using Clock = std::chrono::steady_clock;

/* of the routes whose prefixes begin with /short */
constexpr uint32_t TIMEOUT_MS = 400;
/* Callers are answered so long after the timeout of a route at the latest. */
constexpr uint32_t SLACK_MS = 500;

/** A daemon passes all connections to one peer, which takes them and freezes. Its
 * kernel goes on acknowledging what it is sent. */
class HandoffSilence : public Handoff
{
      protected:
	void SetUp() override
	{
		endpoint.set_script(count_runs());
		start({ PASSES, TAKES, TAKES_NONE });
	}

	static std::string text(const std::string &method,
	    const std::string &path, const std::string &id,
	    const std::string &extra = "")
	{
		return method + " " + path +
		    " HTTP/1.1\r\nHost: a.example\r\n"
		    "X-Bamboorudder-Request-Id: " +
		    id + "\r\nX-Bamboorudder-Deadline-Ms: 8000\r\n" + extra +
		    "\r\n";
	}

	/** @return a connection that the peer has taken */
	std::unique_ptr<Caller> passed_caller(const std::string &name)
	{
		std::unique_ptr<Caller> caller;
		int tries = 0;

		/* a peer that was silent is left out for a while */
		EXPECT_TRUE(eventually([&] {
			std::string id = name + std::to_string(++tries);
			caller = std::make_unique<Caller>(listen_port(),
			    text("GET", "/safe/", id));
			EXPECT_EQ(caller->receive(3000).rfind("HTTP/1.1 200",
				      0),
			    0u);
			return handled_by(id) == 1;
		}));
		return caller;
	}

	void freeze_peer()
	{
		daemons[1]->signal(SIGSTOP);
		ASSERT_EQ(waitpid(daemons[1]->pid(), nullptr, WUNTRACED),
		    daemons[1]->pid());
	}

	/** Expects a response that comes in time and is the last of its
	 * connection. */
	static void expect_last_response(const Caller &caller,
	    const std::string &status)
	{
		auto sent = Clock::now();
		std::string response = caller.receive(8000);

		EXPECT_EQ(response.rfind("HTTP/1.1 " + status, 0), 0u)
		    << response;
		EXPECT_LE(Clock::now() - sent,
		    std::chrono::milliseconds(TIMEOUT_MS + SLACK_MS));
		EXPECT_NE(response.find("Connection: close"),
		    std::string::npos);
	}
};

/* The caller waited for as long as the peer was frozen: the daemon ended what the
 * peer owed only where the peer's side ended. */
TEST_F(HandoffSilence, RequestsToAFrozenPeerAreAnsweredAtTheirTimeouts)
{
	for (const char *path : { "/short/", "/short-once/", "/short-flow/" }) {
		auto caller = passed_caller("before" + std::string(path + 1));

		freeze_peer();
		caller->send_text(text("GET", path, "frozen"));
		expect_last_response(*caller, "504");
		daemons[1]->signal(SIGCONT);
		/* nothing follows when the peer wakes */
		std::string rest;
		EXPECT_TRUE(caller->receive_rest(5000, rest)) << path;
		EXPECT_EQ(rest, "") << path;
	}
	EXPECT_NE(daemons[0]->log().find("event=handoff_unanswered id=frozen"),
	    std::string::npos);
}

/* What the caller has of the response must not look whole. */
TEST_F(HandoffSilence, AStreamOfAFrozenPeerIsBrokenOffAtItsTimeout)
{
	auto sent = Clock::now();

	endpoint.set_script(stream_slowly(5000));
	Caller caller(listen_port(), text("GET", "/short-flow/", "stream"));
	ASSERT_EQ(caller.receive(3000).rfind("HTTP/1.1 200", 0), 0u);
	freeze_peer();
	std::string rest;
	EXPECT_TRUE(caller.receive_rest(3000, rest));
	EXPECT_LE(Clock::now() - sent,
	    std::chrono::milliseconds(TIMEOUT_MS + SLACK_MS));
	EXPECT_EQ(rest.find("0\r\n\r\n"), std::string::npos) << rest;
	EXPECT_EQ(rest.find("HTTP/1.1"), std::string::npos) << rest;
}

/* Nothing can have run of a request whose end the peer was never sent. */
TEST_F(HandoffSilence, ABodyThatAFrozenPeerDoesNotTakeIsRefused)
{
	auto caller = passed_caller("before");

	freeze_peer();
	caller->send_text(text("POST", "/short-once/", "upload",
	    "Content-Length: 50000000\r\n"));
	std::atomic<bool> ended{ false };
	std::thread sender([&] {
		/* more than the sockets hold; ends with the connection */
		caller->send_until_ended(50000000, ended);
	});
	std::string response = caller->receive(8000);
	ended = true;
	EXPECT_EQ(response.rfind("HTTP/1.1 503", 0), 0u) << response;
	EXPECT_NE(response.find("Retry-After: "), std::string::npos);
	daemons[1]->signal(SIGCONT);
	sender.join();
	sleep_ms(500);
	EXPECT_EQ(runs_count, 1);
}

/* The time that a caller takes for its body is its own. */
TEST_F(HandoffSilence, ABodyThatIsOnItsWayIsWaitedFor)
{
	auto caller = passed_caller("before");

	caller->send_text(
	    text("POST", "/short-once/", "slow-body", "Content-Length: 2\r\n"));
	std::string response = caller->receive(TIMEOUT_MS + SLACK_MS);
	EXPECT_EQ(response, "");
	caller->send_text("bb");
	/* it was not sent to an endpoint, as the peer knows */
	EXPECT_EQ(caller->receive(3000).rfind("HTTP/1.1 503", 0), 0u);
}

/* A wait that is shorter than the timeout is no silence. */
TEST_F(HandoffSilence, APeerThatWakesInTimeAnswers)
{
	auto caller = passed_caller("before");

	freeze_peer();
	caller->send_text(text("GET", "/safe/", "woken"));
	sleep_ms(1000);
	daemons[1]->signal(SIGCONT);
	EXPECT_EQ(caller->receive(5000).rfind("HTTP/1.1 200", 0), 0u);
	caller->send_text(text("GET", "/safe/", "next"));
	EXPECT_EQ(caller->receive(5000).rfind("HTTP/1.1 200", 0), 0u);
}

} // namespace
