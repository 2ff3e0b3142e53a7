#include <gtest/gtest.h>

#include <cstdio>
#include <cstring>
#include <vector>

extern "C" {
#include "common/codec.h"
}

namespace
{

msg
make_report(report_item *item, report_vtime *vtime)
{
	msg message = {};

	*item = { 1, UINT64_MAX, 3, 4, 5, 6, REPORT_RUNNING };
	*vtime = { 7, -8 };
	message.type = MSG_REQUEST_REPORT;
	message.from_node_id = 9;
	message.from_incarnation = 10;
	message.u.request_report = { 11, 12, item, vtime, 1, 1, 13, 14,
		UINT64_MAX, 1, 0 };
	return message;
}

} // namespace

TEST(Codec, RequestReportRoundTrips)
{
	GByteArray *bytes = g_byte_array_new();
	report_item item;
	report_vtime vtime;
	msg message = make_report(&item, &vtime), decoded;

	codec_encode(&message, bytes);
	ASSERT_TRUE(codec_decode(bytes->data, bytes->len, &decoded));
	EXPECT_EQ(decoded.from_node_id, 9u);
	EXPECT_EQ(decoded.u.request_report.owner_seen, 13u);
	EXPECT_EQ(decoded.u.request_report.send_seq, 14u);
	EXPECT_EQ(decoded.u.request_report.items[0].account_id, 1u);
	EXPECT_EQ(decoded.u.request_report.items[0].estimate_tokens, 6u);
	EXPECT_EQ(decoded.u.request_report.items[0].seq, UINT64_MAX);
	EXPECT_EQ(decoded.u.request_report.items[0].state, REPORT_RUNNING);
	EXPECT_EQ(decoded.u.request_report.vtimes[0].vtime, -8);
	codec_release(&decoded);
	g_byte_array_free(bytes, TRUE);
}

/** Encodes and decodes a message, and rejects every truncation of it. */
void
round_trip(const msg &message, msg *decoded)
{
	GByteArray *bytes = g_byte_array_new();

	codec_encode(&message, bytes);
	for (guint length = 0; length < bytes->len; length++)
		EXPECT_FALSE(codec_decode(bytes->data, length, decoded));
	ASSERT_TRUE(codec_decode(bytes->data, bytes->len, decoded));
	g_byte_array_free(bytes, TRUE);
}

TEST(Codec, AStopOfAPassingDaemonRoundTrips)
{
	GByteArray *bytes = g_byte_array_new();
	msg message = {}, decoded;

	message.type = MSG_HANDOFF_STOP;
	message.from_node_id = 9;
	message.u.handoff_stop = { UINT32_MAX, 8000 };
	round_trip(message, &decoded);
	EXPECT_EQ(decoded.type, MSG_HANDOFF_STOP);
	EXPECT_EQ(decoded.from_node_id, 9u);
	EXPECT_EQ(decoded.u.handoff_stop.elapsed_ms, UINT32_MAX);
	EXPECT_EQ(decoded.u.handoff_stop.grace_ms, 8000u);
	codec_encode(&message, bytes);
	g_byte_array_append(bytes, bytes->data, 1);
	EXPECT_FALSE(codec_decode(bytes->data, bytes->len, &decoded));
	g_byte_array_free(bytes, TRUE);
}

TEST(Codec, ReportRoundTrips)
{
	load_account account = { 5, 6, 7 };
	msg message = {}, decoded;

	message.type = MSG_REPORT;
	message.u.report.accounts = &account;
	message.u.report.accounts_count = 1;
	message.u.report.has_accounts = 1;
	message.u.report.freshness[RESOURCE_ENDPOINTS] = { 9, UINT32_MAX };
	round_trip(message, &decoded);
	EXPECT_EQ(decoded.u.report.accounts[0].served_tokens, 7u);
	EXPECT_EQ(decoded.u.report.has_accounts, 1u);
	EXPECT_EQ(decoded.u.report.freshness[RESOURCE_ENDPOINTS].version, 9u);
	codec_release(&decoded);
}

TEST(Codec, PlacementMessagesRoundTrip)
{
	msg message = {}, decoded;
	msg_place_request *asked = &message.u.place_request;

	message.type = MSG_PLACE_REQUEST;
	*asked = { UINT64_MAX, 2, 3, 4, { { 5, 6 }, { UINT64_MAX, 8 } },
		{ 9, 10 }, 2, 2, 11, 12, 13, 14, 1, UINT32_MAX, UINT64_MAX,
		{ 2, { { 15, 16 }, { UINT64_MAX, UINT32_MAX } } } };
	round_trip(message, &decoded);
	EXPECT_EQ(memcmp(&decoded.u.place_request, asked, sizeof(*asked)), 0);
	message = {};
	message.type = MSG_PLACEMENT;
	message.u.placement = { UINT64_MAX, 2, "e1", "10.0.0.1:80", UINT64_MAX,
		UINT64_MAX, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, { 14, 15 }, 1,
		REFUSE_QUEUE_FULL, 1, CROSSING_ALONE };
	round_trip(message, &decoded);
	EXPECT_EQ(memcmp(&decoded.u.placement, &message.u.placement,
		      sizeof(message.u.placement)),
	    0);
	memset(message.u.placement.name, 'e', ENDPOINT_NAME_MAX_BYTES - 1);
	round_trip(message, &decoded);
	EXPECT_STREQ(decoded.u.placement.name, message.u.placement.name);
}

bool
is_same(const attempt_event &a, const attempt_event &b)
{
	return a.attempt_id == b.attempt_id && a.taken_ms == b.taken_ms &&
	    a.limit_per_1000_s == b.limit_per_1000_s &&
	    a.pause_ms == b.pause_ms && a.kind == b.kind &&
	    a.outcome == b.outcome && a.leaving == b.leaving &&
	    a.pace_percent == b.pace_percent;
}

TEST(Codec, AttemptsRoundTrip)
{
	attempt_event events[] = { { UINT64_MAX, UINT32_MAX, 3, 4,
				       ATTEMPT_STATEMENT, 5, 1, 0 },
		{ 6, 7, 8, 9, ATTEMPT_BEGAN, 1, 0, UINT16_MAX } };
	running_attempt running[] = { { UINT64_MAX, 2, 3, UINT32_MAX } };
	msg message = {}, decoded;

	message.type = MSG_ATTEMPT_EVENTS;
	message.u.attempt_events = { events, 2 };
	round_trip(message, &decoded);
	for (size_t i = 0; i < 2; i++)
		EXPECT_TRUE(
		    is_same(decoded.u.attempt_events.items[i], events[i]));
	codec_release(&decoded);
	message.type = MSG_RUNNING_ATTEMPTS;
	message.u.running_attempts = { running, 1 };
	round_trip(message, &decoded);
	EXPECT_EQ(memcmp(decoded.u.running_attempts.items, running,
		      sizeof(running)),
	    0);
	codec_release(&decoded);
}

TEST(Codec, CrashRecordsRoundTrip)
{
	GByteArray *bytes = g_byte_array_new();
	crash_record records[] = { { UINT64_MAX, { 1, UINT64_MAX }, 2, 3, 4,
				       UINT32_MAX, 5, true },
		{ 6, {}, 0, 0, 0, 0, 0, false } };
	msg message = {}, decoded;

	message.type = MSG_CRASH_RECORDS;
	message.u.crash_records = { records, 2 };
	codec_encode(&message, bytes);
	ASSERT_TRUE(codec_decode(bytes->data, bytes->len, &decoded));
	ASSERT_EQ(decoded.u.crash_records.count, 2u);
	EXPECT_EQ(memcmp(decoded.u.crash_records.items, records,
		      sizeof(records)),
	    0);
	codec_release(&decoded);
	for (guint length = 0; length < bytes->len; length++)
		EXPECT_FALSE(codec_decode(bytes->data, length, &decoded));
	g_byte_array_free(bytes, TRUE);
}

TEST(Codec, EndpointLimitsRoundTrip)
{
	GByteArray *bytes = g_byte_array_new();
	reported_limit limits[] = { { UINT64_MAX, 5600, UINT32_MAX },
		{ 6, 0, 0 } };
	msg message = {}, decoded;

	message.type = MSG_ENDPOINT_LIMITS;
	message.u.endpoint_limits = { limits, 2 };
	codec_encode(&message, bytes);
	ASSERT_TRUE(codec_decode(bytes->data, bytes->len, &decoded));
	ASSERT_EQ(decoded.u.endpoint_limits.count, 2u);
	EXPECT_EQ(memcmp(decoded.u.endpoint_limits.items, limits,
		      sizeof(limits)),
	    0);
	codec_release(&decoded);
	for (guint length = 0; length < bytes->len; length++)
		EXPECT_FALSE(codec_decode(bytes->data, length, &decoded));
	g_byte_array_free(bytes, TRUE);
}

TEST(Codec, HeartbeatTextsRoundTrip)
{
	GByteArray *bytes = g_byte_array_new();
	msg message = {}, decoded;

	message.type = MSG_HEARTBEAT;
	strcpy(message.u.heartbeat.self.address, "127.0.0.1:7001");
	strcpy(message.u.heartbeat.self.domain, "d1");
	message.u.heartbeat.self.flags = MEMBER_FLAG_LEAVING;
	codec_encode(&message, bytes);
	ASSERT_TRUE(codec_decode(bytes->data, bytes->len, &decoded));
	EXPECT_STREQ(decoded.u.heartbeat.self.address, "127.0.0.1:7001");
	EXPECT_STREQ(decoded.u.heartbeat.self.domain, "d1");
	EXPECT_EQ(decoded.u.heartbeat.self.flags, MEMBER_FLAG_LEAVING);
	g_byte_array_free(bytes, TRUE);
}

TEST(Codec, DecoderRejectsEveryTruncation)
{
	GByteArray *bytes = g_byte_array_new();
	report_item item;
	report_vtime vtime;
	msg message = make_report(&item, &vtime), decoded;

	codec_encode(&message, bytes);
	for (size_t length = 0; length < bytes->len; length++)
		EXPECT_FALSE(codec_decode(bytes->data, length, &decoded));
	g_byte_array_free(bytes, TRUE);
}

namespace
{

constexpr uint64_t ANY_ID = 0x9234567890abcdef, ANY_EPOCH = 1796371200000;
constexpr uint64_t ANY_SEQ = ANY_EPOCH << 20;

size_t
encoded_length_bytes(msg message)
{
	GByteArray *bytes = g_byte_array_new();
	size_t length;

	message.from_node_id = ANY_ID;
	message.from_incarnation = ANY_EPOCH;
	codec_encode(&message, bytes);
	length = bytes->len;
	g_byte_array_free(bytes, TRUE);
	return length;
}

size_t
brief_report_bytes(uint32_t item_count)
{
	std::vector<report_item> items(item_count);
	msg message = {};

	for (uint32_t i = 0; i < item_count; i++)
		items[i] = { ANY_ID, ANY_SEQ - 70 * i, ANY_ID, ANY_ID, 480, 500,
			REPORT_RUNNING };
	message.type = MSG_REQUEST_REPORT;
	message.u.request_report = { ANY_ID, ANY_EPOCH, items.data(), nullptr,
		item_count, 0, 0, 70000, ANY_SEQ, 0, 0 };
	return encoded_length_bytes(message);
}

} // namespace

// At the target load, a model has on average 30 requests a second and 480
// running requests at 370 daemons, and its owner may use 17 KB a second. Each
// finished request is included in two more reports. A daemon whose requests are
// all running sends a report every 4 s.
TEST(Codec, OwnerTrafficOfAnAverageModelStaysWithinTheLimit)
{
	msg slot_request = {}, grant = {}, done = {};
	size_t bytes_per_s;

	slot_request.type = MSG_SLOT_REQUEST;
	slot_request.u.slot_request = { ANY_ID, ANY_ID, ANY_SEQ, ANY_ID, 0,
		500 };
	grant.type = MSG_GRANT;
	grant.u.grant = { ANY_ID, ANY_EPOCH, ANY_SEQ, ANY_ID, 123456789,
		70000 };
	done.type = MSG_DONE;
	done.u.done = { ANY_ID, ANY_SEQ, 480, 70000, DONE_COMPLETE };
	bytes_per_s = 30 *
	    (encoded_length_bytes(slot_request) + encoded_length_bytes(grant) +
		encoded_length_bytes(done) + 2 * brief_report_bytes(1));
	bytes_per_s += 370 * brief_report_bytes(1) / 4 +
	    (480 - 370) * (brief_report_bytes(2) - brief_report_bytes(1)) / 4;
	EXPECT_LE(bytes_per_s, 17000u);
	RecordProperty("bytes_per_s", (int)bytes_per_s);
	printf("bytes_per_s=%zu\n", bytes_per_s);
}
