#include <gtest/gtest.h>

#include <cstring>

extern "C" {
#include "common/codec.h"
}

namespace
{

msg
report_message(report_item *item, report_vtime *vtime)
{
	msg message = {};

	*item = { 1, UINT64_MAX, 3, 4, 5, 6, REPORT_RUNNING };
	*vtime = { 7, -8 };
	message.type = MSG_REPORT;
	message.from_node_id = 9;
	message.from_incarnation = 10;
	message.u.report = { 11, 12, item, vtime, 1, 1, 13, 14, UINT64_MAX, 1,
		0 };
	return message;
}

} // namespace

TEST(Codec, ReportComesBackAsItWent)
{
	GByteArray *bytes = g_byte_array_new();
	report_item item;
	report_vtime vtime;
	msg message = report_message(&item, &vtime), decoded;

	codec_encode(&message, bytes);
	ASSERT_TRUE(codec_decode(bytes->data, bytes->len, &decoded));
	EXPECT_EQ(decoded.from_node_id, 9u);
	EXPECT_EQ(decoded.u.report.owner_seen, 13u);
	EXPECT_EQ(decoded.u.report.send_seq, 14u);
	EXPECT_EQ(decoded.u.report.items[0].account_id, 1u);
	EXPECT_EQ(decoded.u.report.items[0].estimate_tokens, 6u);
	EXPECT_EQ(decoded.u.report.items[0].seq, UINT64_MAX);
	EXPECT_EQ(decoded.u.report.items[0].state, REPORT_RUNNING);
	EXPECT_EQ(decoded.u.report.vtimes[0].vtime, -8);
	codec_release(&decoded);
	g_byte_array_free(bytes, TRUE);
}

TEST(Codec, TextsComeBack)
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

TEST(Codec, EveryCutIsRejected)
{
	GByteArray *bytes = g_byte_array_new();
	report_item item;
	report_vtime vtime;
	msg message = report_message(&item, &vtime), decoded;

	codec_encode(&message, bytes);
	for (size_t length = 0; length < bytes->len; length++)
		EXPECT_FALSE(codec_decode(bytes->data, length, &decoded));
	g_byte_array_free(bytes, TRUE);
}
