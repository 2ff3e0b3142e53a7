#include <gtest/gtest.h>

extern "C" {
#include "core/handoff_exchange.h"
}

namespace
{

/* a request that the peer has as a whole */
struct handoff_exchange
whole_request()
{
	struct handoff_exchange exchange = {};

	exchange.in_progress = true;
	exchange.whole = true;
	exchange.deadline_ms = 5000;
	exchange.moved_ms = 1000;
	return exchange;
}

TEST(HandoffExchange, APeerHasAMarginAfterTheDeadline)
{
	struct handoff_exchange exchange = whole_request();

	EXPECT_EQ(handoff_exchange_due_ms(&exchange),
	    5000 + HANDOFF_ANSWER_MARGIN_MS);
	exchange.moved_ms = 6000; /* the caller's body ended late */
	EXPECT_EQ(handoff_exchange_due_ms(&exchange),
	    6000 + HANDOFF_ANSWER_MARGIN_MS);
}

TEST(HandoffExchange, ACallerMayTakeItsTime)
{
	struct handoff_exchange exchange = whole_request();

	exchange.waits_for_caller = true;
	EXPECT_EQ(handoff_exchange_due_ms(&exchange), UINT64_MAX);
	exchange.opaque = true;
	EXPECT_EQ(handoff_exchange_due_ms(&exchange), UINT64_MAX);
}

TEST(HandoffExchange, NothingIsDueBeforeAHeadOrBetweenRequests)
{
	struct handoff_exchange exchange = whole_request();

	exchange.deadline_ms = UINT64_MAX;
	EXPECT_EQ(handoff_exchange_due_ms(&exchange), UINT64_MAX);
	exchange = whole_request();
	exchange.in_progress = false;
	EXPECT_EQ(handoff_exchange_due_ms(&exchange), UINT64_MAX);
	EXPECT_EQ(handoff_exchange_end(&exchange), HANDOFF_END_NOTHING);
}

TEST(HandoffExchange, WhatCannotBeFollowedIsResetAfterALongSilence)
{
	struct handoff_exchange exchange = whole_request();

	exchange.opaque = true;
	EXPECT_GT(handoff_exchange_due_ms(&exchange), 10000u);
	EXPECT_LT(handoff_exchange_due_ms(&exchange), UINT64_MAX);
	EXPECT_EQ(handoff_exchange_end(&exchange), HANDOFF_END_RESET);
}

/* A 503 promises that nothing has run and that nothing will. */
TEST(HandoffExchange, OnlyARequestWithoutItsEndIsRefused)
{
	struct handoff_exchange exchange = whole_request();

	EXPECT_EQ(handoff_exchange_end(&exchange), HANDOFF_END_UNKNOWN);
	exchange.whole = false;
	EXPECT_EQ(handoff_exchange_end(&exchange), HANDOFF_END_NOT_RUN);
}

TEST(HandoffExchange, AResponseThatHasBegunIsReset)
{
	struct handoff_exchange exchange = whole_request();

	exchange.answering = true;
	EXPECT_EQ(handoff_exchange_end(&exchange), HANDOFF_END_RESET);
	exchange.whole = false;
	EXPECT_EQ(handoff_exchange_end(&exchange), HANDOFF_END_RESET);
}

} // namespace
