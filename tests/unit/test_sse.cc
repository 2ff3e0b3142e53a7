#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "common/sse.h"
}

TEST(Sse, ParsesTheSameForEverySplitOfTheInput)
{
	const std::string stream = "id: 0\r\ndata: {\"a\"}\r\n\r\n"
				   "data: {\"b\"}\n\n"
				   "data: {\"usage\":{}}\n\ndata: [DONE]\n\n";

	for (size_t split = 0; split <= stream.size(); split++) {
		sse_parser parser;
		sse_parser_init(&parser);
		sse_parser_feed(&parser, stream.data(), split);
		sse_parser_feed(&parser, stream.data() + split,
		    stream.size() - split);
		EXPECT_EQ(parser.token_events_count, 2u);
		EXPECT_TRUE(parser.done);
		EXPECT_STREQ(parser.usage_line, "{\"usage\":{}}");
	}
}

TEST(Sse, CompleteEventsEndAtAnEmptyLine)
{
	const std::string stream = "id: 0\ndata: a\n\nid: 1\r\ndata: b\r\n"
				   "\r\ndata: c\n";
	const size_t first_event_bytes = stream.find("id: 1"),
		     two_events_bytes = stream.rfind("data");

	for (size_t length = 0; length <= stream.size(); length++) {
		size_t expected = length >= two_events_bytes ? two_events_bytes
		    : length >= first_event_bytes            ? first_event_bytes
							     : 0;
		EXPECT_EQ(sse_complete_events_bytes(stream.data(), length, 0),
		    expected)
		    << length;
	}
}

TEST(Sse, FindsCompleteEventsWhenInputArrivesByteByByte)
{
	const std::string stream = "data: a\n\ndata: b\r\n\r\ndata: c\n\n";
	std::string pending, passed;

	for (char byte : stream) {
		size_t checked = pending.size(), complete;
		pending += byte;
		complete = sse_complete_events_bytes(pending.data(),
		    pending.size(), checked);
		passed += pending.substr(0, complete);
		pending.erase(0, complete);
		if (complete > 0) {
			EXPECT_EQ(passed.back(), '\n');
		}
	}
	EXPECT_EQ(passed, stream);
}

TEST(Sse, RecordsTheLastEventId)
{
	const std::string stream = "id: 4\ndata: a\n\nid: 5\n\n";
	sse_parser parser;

	sse_parser_init(&parser);
	sse_parser_feed(&parser, stream.data(), stream.size());
	EXPECT_STREQ(parser.last_event_id, "5");
}

/* Regression test for a finding of fuzz-sse: after a complete event, a further
 * empty line at the start of the buffer was held back. */
TEST(Sse, PassesEmptyLinesAtTheStartOfTheBuffer)
{
	const std::string stream = "data: a\r\n\r\n";

	EXPECT_EQ(sse_complete_events_bytes(stream.data(), stream.size(), 0),
	    stream.size());
	EXPECT_EQ(sse_complete_events_bytes("\r\n", 2, 0), 2u);
	EXPECT_EQ(sse_complete_events_bytes("\n", 1, 0), 1u);
	EXPECT_EQ(sse_complete_events_bytes("\r\na", 3, 0), 2u);
}
