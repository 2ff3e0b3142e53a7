#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "common/sse.h"
}

TEST(Sse, CountsTheSameHoweverTheBytesAreSplit)
{
	const std::string stream = "id: 0\r\ndata: {\"a\"}\r\n\r\n"
				   "data: {\"b\"}\n\n"
				   "data: {\"usage\":{}}\n\ndata: [DONE]\n\n";

	for (size_t split = 0; split <= stream.size(); split++) {
		sse_counter counter;
		sse_counter_init(&counter);
		sse_counter_feed(&counter, stream.data(), split);
		sse_counter_feed(&counter, stream.data() + split,
		    stream.size() - split);
		EXPECT_EQ(counter.events_count, 2u);
		EXPECT_TRUE(counter.done);
		EXPECT_STREQ(counter.usage_line, "{\"usage\":{}}");
	}
}
