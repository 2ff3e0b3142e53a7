/*
 * Claims of idempotency keys: single transitions, and random schedules of
 * several daemons that use the same key. The simulated store loses, delays and
 * refuses writes; the test counts how often the request is run.
 */
#include <gtest/gtest.h>

#include <cstring>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "common/claim_json.h"
#include "core/claim.h"
#include "core/retry.h"
}

namespace
{

constexpr uint32_t LEASE_MS = 1000, MARGIN_MS = 100, RUNNING_MAX_MS = 3000,
		   KEEP_MS = 1000000;

claim_config
make_config(const std::string &attempt, const std::string &fingerprint = "f")
{
	claim_config config = {};

	strcpy(config.attempt_id, attempt.c_str());
	strcpy(config.fingerprint, fingerprint.c_str());
	config.lease_ms = LEASE_MS;
	config.clock_margin_ms = MARGIN_MS;
	config.running_max_ms = RUNNING_MAX_MS;
	config.keep_ms = KEEP_MS;
	return config;
}

claim_event
make_event(claim_event_type type, uint64_t version = 0)
{
	claim_event event = {};

	event.type = type;
	event.version = version;
	return event;
}

claim_event
read_event(const char *attempt, claim_state state, uint64_t changed_at_ms,
    const char *fingerprint = "f")
{
	claim_event event = make_event(CLAIM_EVENT_READ, 7);

	strcpy(event.metadata.attempt_id, attempt);
	strcpy(event.metadata.fingerprint, fingerprint);
	event.metadata.state = state;
	event.metadata.changed_at_ms = changed_at_ms;
	return event;
}

claim_step
step_for_duplicate(const claim_event &stored, uint64_t now_ms)
{
	claim_config config = make_config("mine");
	claim_event conflict = make_event(CLAIM_EVENT_CONFLICT);
	claim claim;

	claim_init(&claim, &config, now_ms);
	EXPECT_EQ(claim_handle(&claim, &conflict, now_ms), CLAIM_STEP_READ);
	return claim_handle(&claim, &stored, now_ms);
}

} // namespace

TEST(Claim, ResponseToADuplicateFollowsTheClaimState)
{
	EXPECT_EQ(step_for_duplicate(read_event("o", CLAIM_CLAIMED, 500), 1000),
	    CLAIM_STEP_IN_PROGRESS);
	EXPECT_EQ(step_for_duplicate(read_event("o", CLAIM_SENT, 500), 1000),
	    CLAIM_STEP_IN_PROGRESS);
	EXPECT_EQ(step_for_duplicate(read_event("o", CLAIM_SENT, 500), 4000),
	    CLAIM_STEP_OUTCOME_UNKNOWN);
	EXPECT_EQ(step_for_duplicate(read_event("o", CLAIM_DONE, 500), 1000),
	    CLAIM_STEP_REPLAY);
	EXPECT_EQ(step_for_duplicate(read_event("o", CLAIM_UNKNOWN, 500), 1000),
	    CLAIM_STEP_OUTCOME_UNKNOWN);
	EXPECT_EQ(step_for_duplicate(read_event("o", CLAIM_DONE, 500, "x"),
		      1000),
	    CLAIM_STEP_KEY_REUSED);
}

TEST(Claim, OnlyAnExpiredClaimIsTakenOver)
{
	EXPECT_EQ(step_for_duplicate(read_event("o", CLAIM_CLAIMED, 500),
		      500 + LEASE_MS + MARGIN_MS),
	    CLAIM_STEP_TAKE_OVER);
	EXPECT_EQ(step_for_duplicate(read_event("o", CLAIM_SENT, 500),
		      500 + KEEP_MS - 1),
	    CLAIM_STEP_OUTCOME_UNKNOWN);
	EXPECT_EQ(step_for_duplicate(read_event("o", CLAIM_DONE, 500),
		      500 + KEEP_MS),
	    CLAIM_STEP_TAKE_OVER);
}

TEST(Claim, IndeterminateCreateIsResolvedByTheAttemptId)
{
	claim_config config = make_config("mine");
	claim_event indeterminate = make_event(CLAIM_EVENT_INDETERMINATE);
	claim_event stored = read_event("mine", CLAIM_CLAIMED, 0);
	claim claim;

	EXPECT_EQ(claim_init(&claim, &config, 0), CLAIM_STEP_CREATE);
	EXPECT_EQ(claim_handle(&claim, &indeterminate, 1), CLAIM_STEP_READ);
	EXPECT_EQ(claim_handle(&claim, &stored, 2), CLAIM_STEP_ACQUIRE_SLOT);
	EXPECT_EQ(claim.version, 7u);
}

TEST(Claim, PausedHolderCannotSendAfterATakeover)
{
	claim_config config = make_config("mine");
	claim_event written = make_event(CLAIM_EVENT_WRITTEN, 3);
	claim_event granted = make_event(CLAIM_EVENT_GRANTED);
	claim_event conflict = make_event(CLAIM_EVENT_CONFLICT);
	claim_event stored = read_event("other", CLAIM_DONE, 9000);
	claim claim;

	claim_init(&claim, &config, 0);
	EXPECT_EQ(claim_handle(&claim, &written, 1), CLAIM_STEP_ACQUIRE_SLOT);
	EXPECT_EQ(claim_handle(&claim, &granted, 9000), CLAIM_STEP_MARK_SENT);
	EXPECT_EQ(claim_handle(&claim, &conflict, 9001), CLAIM_STEP_READ);
	EXPECT_EQ(claim_handle(&claim, &stored, 9002), CLAIM_STEP_REPLAY);
}

TEST(Claim, HolderWithAnExpiredLeaseDoesNotRefuseAsNotRun)
{
	claim_config config = make_config("mine");
	claim_event written = make_event(CLAIM_EVENT_WRITTEN, 3);
	claim_event refused = make_event(CLAIM_EVENT_NOT_GRANTED);
	claim_event unavailable = make_event(CLAIM_EVENT_STORE_UNAVAILABLE);
	claim_step step;
	claim claim;

	claim_init(&claim, &config, 0);
	claim_handle(&claim, &written, 1);
	step = claim_handle(&claim, &refused, LEASE_MS);
	while (step == CLAIM_STEP_REMOVE)
		step = claim_handle(&claim, &unavailable, LEASE_MS);
	EXPECT_EQ(step, CLAIM_STEP_OUTCOME_UNKNOWN);
}

TEST(Claim, UnavailableStoreEndsTheAttemptAfterABoundedNumberOfCalls)
{
	const claim_event_type failures[] = { CLAIM_EVENT_INDETERMINATE,
		CLAIM_EVENT_STORE_UNAVAILABLE, CLAIM_EVENT_CONFLICT,
		CLAIM_EVENT_NOT_FOUND };

	for (uint32_t seed = 0; seed < 200; seed++) {
		std::mt19937 random(seed);
		claim_config config = make_config("mine");
		claim claim;
		claim_step step = claim_init(&claim, &config, 0);
		uint32_t calls = 0;

		while (step <= CLAIM_STEP_REMOVE && calls < 100) {
			claim_event event = make_event(failures[random() % 4]);
			step = claim_handle(&claim, &event, 1);
			calls++;
		}
		EXPECT_EQ(step, CLAIM_STEP_STORE_UNAVAILABLE) << seed;
		EXPECT_LE(calls, CLAIM_STORE_CALLS_MAX_COUNT);
	}
}

namespace
{

struct StoreObject {
	claim_metadata metadata;
	uint64_t version;
};

/* A write that takes effect if the object has this version. A delayed write
 * takes effect after its caller got an indeterminate result. */
struct StoreWrite {
	std::optional<claim_metadata> metadata; /* empty for a removal */
	uint64_t version;
};

/* A store with one claim object, and concurrent attempts to run its request. */
class Schedule
{
      public:
	explicit Schedule(uint32_t seed) : random_(seed)
	{
	}

	void run()
	{
		for (int i = 0; i < 400; i++)
			run_random_step();
	}

	uint32_t runs = 0, false_not_run = 0, ended = 0, replayed = 0;

      private:
	struct Attempt {
		struct claim claim;
		claim_step step;
		bool ran = false;
		bool held_claim = false;
		uint32_t runs_when_claimed = 0;
	};

	uint32_t random_below(uint32_t end)
	{
		return (uint32_t)(random_() % end);
	}

	void run_random_step()
	{
		now_ms_ += random_below(10) == 0 ? random_below(1500)
						 : random_below(20);
		if (!delayed_writes_.empty() && random_below(4) == 0) {
			size_t position = random_below(
			    (uint32_t)delayed_writes_.size());
			apply(delayed_writes_[position]);
			delayed_writes_.erase(
			    delayed_writes_.begin() + (long)position);
		} else if (attempts_.size() < 4 && random_below(5) == 0)
			start_attempt();
		else if (!attempts_.empty())
			advance_attempt(
			    random_below((uint32_t)attempts_.size()));
	}

	void start_attempt()
	{
		claim_config config = make_config(
		    "a" + std::to_string(++last_attempt_));
		Attempt attempt;

		attempt.step = claim_init(&attempt.claim, &config, now_ms_);
		attempts_.push_back(attempt);
	}

	std::optional<uint64_t> apply(const StoreWrite &write)
	{
		uint64_t current = object_ ? object_->version : 0;

		if (write.version != current)
			return {};
		if (!write.metadata) {
			object_.reset();
			return 0;
		}
		object_ = StoreObject{ *write.metadata, ++version_last_ };
		return object_->version;
	}

	claim_event write(const StoreWrite &write)
	{
		switch (random_below(8)) {
		case 0:
			return make_event(CLAIM_EVENT_STORE_UNAVAILABLE);
		case 1:
			apply(write);
			return make_event(CLAIM_EVENT_INDETERMINATE);
		case 2:
			delayed_writes_.push_back(write);
			return make_event(CLAIM_EVENT_INDETERMINATE);
		default:
			std::optional<uint64_t> version = apply(write);
			return version
			    ? make_event(CLAIM_EVENT_WRITTEN, *version)
			    : make_event(CLAIM_EVENT_CONFLICT);
		}
	}

	claim_event read()
	{
		claim_event event;

		if (random_below(8) == 0)
			return make_event(CLAIM_EVENT_STORE_UNAVAILABLE);
		if (!object_)
			return make_event(CLAIM_EVENT_NOT_FOUND);
		event = make_event(CLAIM_EVENT_READ, object_->version);
		event.metadata = object_->metadata;
		return event;
	}

	claim_event write_state(const Attempt &attempt, claim_state state)
	{
		claim_metadata metadata = {};

		strcpy(metadata.attempt_id, attempt.claim.config.attempt_id);
		strcpy(metadata.fingerprint, attempt.claim.config.fingerprint);
		metadata.state = state;
		metadata.changed_at_ms = state == CLAIM_CLAIMED
		    ? attempt.claim.claimed_at_ms
		    : now_ms_;
		return write({ metadata, attempt.claim.version });
	}

	claim_event send(Attempt &attempt)
	{
		uint32_t outcome = random_below(4);

		if (outcome == 0)
			return make_event(CLAIM_EVENT_NOT_RUN);
		runs++;
		attempt.ran = true;
		return make_event(outcome == 1 ? CLAIM_EVENT_NO_RESPONSE
					       : CLAIM_EVENT_RESPONSE);
	}

	claim_event execute_step(Attempt &attempt)
	{
		switch (attempt.step) {
		case CLAIM_STEP_CREATE:
		case CLAIM_STEP_TAKE_OVER:
			return write_state(attempt, CLAIM_CLAIMED);
		case CLAIM_STEP_READ:
			return read();
		case CLAIM_STEP_MARK_SENT:
			return write_state(attempt, CLAIM_SENT);
		case CLAIM_STEP_RECORD_DONE:
			return write_state(attempt, CLAIM_DONE);
		case CLAIM_STEP_RECORD_UNKNOWN:
			return write_state(attempt, CLAIM_UNKNOWN);
		case CLAIM_STEP_REMOVE:
			return write({ {}, attempt.claim.version });
		case CLAIM_STEP_ACQUIRE_SLOT:
			return make_event(random_below(4) == 0
				? CLAIM_EVENT_NOT_GRANTED
				: CLAIM_EVENT_GRANTED);
		default:
			return send(attempt);
		}
	}

	void advance_attempt(size_t position)
	{
		Attempt &attempt = attempts_[position];
		claim_event event = execute_step(attempt);

		attempt.step = claim_handle(&attempt.claim, &event, now_ms_);
		if (attempt.step == CLAIM_STEP_ACQUIRE_SLOT) {
			attempt.held_claim = true;
			attempt.runs_when_claimed = runs;
		}
		if (attempt.step < CLAIM_STEP_REPLAY)
			return;
		ended++;
		replayed += attempt.step == CLAIM_STEP_REPLAY;
		if (attempt.step == CLAIM_STEP_NOT_RUN ||
		    attempt.step == CLAIM_STEP_STORE_UNAVAILABLE)
			false_not_run += attempt.ran ||
			    (attempt.held_claim &&
				runs != attempt.runs_when_claimed);
		/* Attempts that have not ended after the last step stand for
		 * crashed daemons. */
		attempts_.erase(attempts_.begin() + (long)position);
	}

	std::mt19937 random_;
	uint64_t now_ms_ = 1000, version_last_ = 0;
	uint32_t last_attempt_ = 0;
	std::optional<StoreObject> object_;
	std::vector<StoreWrite> delayed_writes_;
	std::vector<Attempt> attempts_;
};

} // namespace

TEST(Claim, NoRandomScheduleRunsAKeyTwice)
{
	uint32_t runs = 0, replayed = 0;

	for (uint32_t seed = 0; seed < 4000; seed++) {
		Schedule schedule(seed);
		schedule.run();
		ASSERT_LE(schedule.runs, 1u) << "seed " << seed;
		ASSERT_EQ(schedule.false_not_run, 0u) << "seed " << seed;
		runs += schedule.runs;
		replayed += schedule.replayed;
	}
	/* Most schedules get far enough to run the request or replay it. */
	EXPECT_GT(runs, 2000u);
	EXPECT_GT(replayed, 2000u);
}

TEST(ClaimJson, DoneRecordSurvivesARoundTrip)
{
	const std::string body("a\0b\r\n", 5);
	claim_record record, read;
	char *text;

	claim_record_init(&record);
	claim_record_init(&read);
	strcpy(record.metadata.attempt_id, "attempt");
	strcpy(record.metadata.fingerprint, "print");
	record.metadata.state = CLAIM_DONE;
	record.metadata.changed_at_ms = 12;
	record.node_id = UINT64_MAX;
	record.response.status = 201;
	record.response.body_kept = true;
	g_string_append(record.response.headers, "A: b\r\n");
	g_string_append_len(record.response.body, body.data(),
	    (gssize)body.size());
	text = claim_json_write(&record);
	ASSERT_TRUE(claim_json_read(text, &read));
	EXPECT_STREQ(read.metadata.attempt_id, "attempt");
	EXPECT_EQ(read.metadata.state, CLAIM_DONE);
	EXPECT_EQ(read.node_id, UINT64_MAX);
	EXPECT_EQ(read.response.status, 201u);
	EXPECT_STREQ(read.response.headers->str, "A: b\r\n");
	EXPECT_EQ(std::string(read.response.body->str, read.response.body->len),
	    body);
	free(text);
	claim_record_finish(&record);
	claim_record_finish(&read);
}

TEST(ClaimJson, InvalidRecordsAreRejected)
{
	const char *texts[] = { "", "{}", "[1]",
		"{\"attempt\":\"a\",\"fingerprint\":\"f\",\"state\":\"other\","
		"\"changed_at_ms\":1,\"node_id\":1}",
		"{\"attempt\":\"a\",\"fingerprint\":\"f\",\"state\":\"done\","
		"\"changed_at_ms\":1,\"node_id\":1}" };

	for (const char *text : texts) {
		claim_record record;
		claim_record_init(&record);
		EXPECT_FALSE(claim_json_read(text, &record)) << text;
		claim_record_finish(&record);
	}
}

TEST(Retry, BudgetLimitsRetriesToATenthOfTheRequests)
{
	uint32_t retries = 0;
	retry_policy policy;

	retry_init(&policy);
	for (uint32_t i = 0; i < 1000; i++) {
		retry_count_request(&policy, 1);
		for (uint32_t attempts = 1;
		     retry_allow(&policy, 1, RETRY_NO_RESPONSE, true, attempts);
		     attempts++)
			retries++;
	}
	EXPECT_LE(retries, 110u);
	EXPECT_GE(retries, 100u);
	/* Another account has its own budget. */
	EXPECT_TRUE(retry_allow(&policy, 2, RETRY_NO_RESPONSE, true, 1));
	retry_finish(&policy);
}

TEST(Retry, RequestThatMayHaveRunIsRetriedOnlyIfIdempotent)
{
	retry_policy policy;

	retry_init(&policy);
	EXPECT_FALSE(retry_allow(&policy, 1, RETRY_NO_RESPONSE, false, 1));
	EXPECT_TRUE(retry_allow(&policy, 1, RETRY_REFUSED, false, 1));
	EXPECT_TRUE(retry_allow(&policy, 1, RETRY_NOT_SENT, false, 1));
	EXPECT_FALSE(retry_allow(&policy, 1, RETRY_FINISHED, true, 1));
	EXPECT_FALSE(retry_allow(&policy, 1, RETRY_NOT_SENT, true,
	    RETRY_ATTEMPTS_MAX_COUNT));
	retry_finish(&policy);
}
