/*
 * Requests must run at most once, and requests reported as not run must not
 * have run. Each test injects a single failure: daemons and services are
 * killed, paused or drop their responses, or the platform's store fails.
 */
#include <gtest/gtest.h>
#include <signal.h>

#include <chrono>
#include <future>

#include "at_most_once.h"

using namespace e2e;

TEST_F(AtMostOnce, DuplicateGetsRecordedResponseFromAnyDaemon)
{
	Response first, second;

	start_fleet(2, 1, 4);
	first = book(0, "b", "k");
	EXPECT_EQ(first.status, 201);
	EXPECT_EQ(first.headers.count("bamboorudder-replay"), 0u);
	/* The outcome is recorded after the response was sent. */
	EXPECT_TRUE(eventually([&] {
		second = book(1, "b", "k");
		return second.status != 409;
	}));
	EXPECT_EQ(second.status, 201);
	EXPECT_EQ(second.body, first.body);
	EXPECT_EQ(second.headers["bamboorudder-replay"], "true");
	EXPECT_EQ(second.headers["content-type"], "application/json");
	expect_error(book(0, "other", "k"), 422, "key_reused", "not-run");
	EXPECT_EQ(book(0, "c", "k2").status, 201);
	EXPECT_EQ(run_count("b"), 1u);
	EXPECT_EQ(run_count("other"), 0u);
}

TEST_F(AtMostOnce, DuplicateOfRunningRequestIsRefusedAsInProgress)
{
	std::future<Response> first;

	start_fleet(2, 1, 4);
	configure_service(0, "delay_ms=1500");
	first = book_async(0, "b", "k");
	ASSERT_TRUE(wait_until_run("b"));
	expect_error(book(1, "b", "k"), 409, "in_progress", "unknown");
	EXPECT_EQ(first.get().status, 201);
	EXPECT_EQ(run_count("b"), 1u);
}

TEST_F(AtMostOnce, IndeterminateClaimWritesAreResolvedByReadingBack)
{
	start_fleet(1, 1, 4);
	for (int lost_writes = 1; lost_writes <= 3; lost_writes++) {
		std::string id = "b" + std::to_string(lost_writes);
		inject_platform_fault(
		    "lose_writes=" + std::to_string(lost_writes));
		EXPECT_EQ(book(0, id, id).status, 201);
		EXPECT_TRUE(
		    eventually([&] { return book(0, id, id).status == 201; }));
		EXPECT_EQ(run_count(id), 1u);
	}
}

TEST_F(AtMostOnce, KeyedRequestsAreNotRunWhilePlatformIsDown)
{
	start_fleet(1, 1, 4);
	inject_platform_fault("outage_ms=600000");
	expect_error(book(0, "b", "k"), 503, "claim_store_unavailable",
	    "not-run");
	inject_platform_fault("slow_ms=1000&slow_for_ms=600000");
	expect_error(book(0, "c", "l"), 503, "claim_store_unavailable",
	    "not-run");
	fleet.platform_process->signal(SIGKILL);
	expect_error(book(0, "d", "m"), 503, "claim_store_unavailable",
	    "not-run");
	/* A request without a key needs no claim. */
	EXPECT_EQ(book(0, "e").status, 201);
	EXPECT_EQ(run_count("b") + run_count("c") + run_count("d"), 0u);
}

TEST_F(AtMostOnce, RequestOfKilledDaemonIsNotRunAgain)
{
	std::future<Response> first;
	Response second;

	start_fleet(2, 1, 4);
	configure_service(0, "delay_ms=1000");
	first = book_async(0, "b", "k");
	ASSERT_TRUE(wait_until_run("b"));
	fleet.daemons[0].process->signal(SIGKILL);
	EXPECT_FALSE(first.get().complete);
	EXPECT_TRUE(eventually([&] {
		second = book(1, "b", "k");
		return second.body.find("outcome_unknown") != std::string::npos;
	}));
	expect_error(second, 409, "outcome_unknown", "unknown");
	EXPECT_EQ(run_count("b"), 1u);
}

TEST_F(AtMostOnce, PausedDaemonDoesNotSendAfterItsClaimIsTakenOver)
{
	std::future<Response> slot_holder, paused;
	Response other, late;

	start_fleet(2, 1, 1);
	/* before, each daemon grants the slot by itself */
	ASSERT_TRUE(fleet.all_see_live(2));
	configure_service(0, "delay_ms=3000");
	slot_holder = book_async(1, "long");
	ASSERT_TRUE(wait_until_run("long"));
	paused = book_async(0, "b", "k");
	/* Daemon 0 holds the claim and waits for the only slot. */
	ASSERT_TRUE(eventually([&] {
		return send_request("GET",
			   fleet.platform_url("/objects?prefix=claims/"))
			   .body.find("claims/") != std::string::npos;
	}));
	fleet.daemons[0].process->signal(SIGSTOP);
	configure_service(0, "delay_ms=0");
	ASSERT_TRUE(eventually(
	    [&] {
		    other = book(1, "b", "k");
		    return other.status == 201;
	    },
	    30000))
	    << other.body;
	fleet.daemons[0].process->signal(SIGCONT);
	late = paused.get();
	EXPECT_TRUE(late.headers.count("bamboorudder-run") == 0 ||
	    late.headers["bamboorudder-run"] == "unknown")
	    << late.status << late.body;
	EXPECT_EQ(slot_holder.get().status, 201);
	EXPECT_EQ(run_count("b"), 1u);
}

TEST_F(AtMostOnce, LostResponseIsUnknownAndNotRetried)
{
	start_fleet(1, 1, 4);
	configure_service(0, "drop_after=1");
	expect_error(book(0, "b"), 502, "outcome_unknown", "unknown");
	EXPECT_EQ(run_count("b"), 1u);
	configure_service(0, "drop_after=1");
	expect_error(book(0, "c", "k"), 502, "outcome_unknown", "unknown");
	expect_error(book(0, "c", "k"), 409, "outcome_unknown", "unknown");
	EXPECT_EQ(run_count("c"), 1u);
}

TEST_F(AtMostOnce, RefusalAfterAttemptThatMayHaveRunIsUnknown)
{
	std::future<Response> first;

	start_fleet(1, 1, 4);
	configure_service(0, "drop_after=1&delay_ms=700");
	first = std::async(std::launch::async, [&] {
		return send_request("POST", fleet.daemons[0].url("/bookings"),
		    booking_body("b"), { "Authorization: Bearer key-b" });
	});
	EXPECT_TRUE(eventually([&] {
		return run_count("b") > 0 ||
		    first.wait_for(std::chrono::seconds(0)) ==
		    std::future_status::ready;
	}));
	fleet.endpoints[services[0]]->signal(SIGKILL);
	expect_error(first.get(), 502, "outcome_unknown", "unknown");
}

TEST_F(AtMostOnce, RetryAvoidsFailedEndpoint)
{
	start_fleet(1, 2, 4);
	fleet.endpoints[services[0]]->signal(SIGKILL);
	fleet.endpoints[services[0]]->wait();
	for (int i = 0; i < 8; i++) {
		std::string id = "b" + std::to_string(i);
		EXPECT_EQ(book(0, id).status, 201) << i;
		EXPECT_EQ(run_count(id), 1u);
	}
}

TEST_F(AtMostOnce, RefusalOfUnsentRequestReleasesItsKey)
{
	start_fleet(2, 1, 4);
	configure_service(0, "leaving=1");
	expect_error(book(0, "b", "k"), 503, "endpoint_unreachable", "not-run");
	configure_service(0, "leaving=0");
	EXPECT_TRUE(
	    eventually([&] { return book(1, "b", "k").status == 201; }));
	EXPECT_EQ(run_count("b"), 1u);
}

namespace
{

class ClaimSweep : public AtMostOnce
{
      protected:
	ClaimSweep()
	    : AtMostOnce(
		  "claims.keep_ms = 4500\nclaims.sweep_round_ms = 4096\n")
	{
	}
};

} // namespace

TEST_F(ClaimSweep, ExpiredClaimsAreRemoved)
{
	start_fleet(1, 1, 4);
	EXPECT_EQ(book(0, "b", "k").status, 201);
	EXPECT_EQ(book(0, "c", "l").status, 201);
	EXPECT_TRUE(eventually(
	    [&] {
		    return send_request("GET",
			       fleet.platform_url("/objects?prefix=claims/"))
			       .body.find("claims/") == std::string::npos;
	    },
	    60000));
}
