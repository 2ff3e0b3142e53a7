#include <gtest/gtest.h>
#include <jansson.h>

#include <string>

extern "C" {
#include "common/log.h"
#include "common/metric.h"
}

namespace
{

std::string
logged(enum log_format format, enum log_level level)
{
	log_configure(format, LOG_LEVEL_WARN);
	::testing::internal::CaptureStderr();
	log_event(level, "something", "plain", "a", "spaced", "b \"c\"\nd",
	    nullptr);
	return ::testing::internal::GetCapturedStderr();
}

} // namespace

TEST(Log, LogfmtKeepsALineALine)
{
	std::string line = logged(LOG_FORMAT_LOGFMT, LOG_LEVEL_WARN);

	EXPECT_NE(line.find(" level=warn event=something plain=a "
			    "spaced=\"b \\\"c\\\"\\nd\"\n"),
	    std::string::npos)
	    << line;
}

TEST(Log, JsonIsOneDocumentALine)
{
	std::string line = logged(LOG_FORMAT_JSON, LOG_LEVEL_ERROR);
	json_t *root = json_loads(line.c_str(), 0, nullptr);

	EXPECT_STREQ(json_string_value(json_object_get(root, "level")),
	    "error");
	EXPECT_STREQ(json_string_value(json_object_get(root, "spaced")),
	    "b \"c\"\nd");
	EXPECT_EQ(line.find('\n'), line.size() - 1);
	json_decref(root);
}

TEST(Log, LessSevereLinesAreLeftOut)
{
	EXPECT_EQ(logged(LOG_FORMAT_LOGFMT, LOG_LEVEL_INFO), "");
}

TEST(Metric, AHistogramCountsUpToItsBounds)
{
	GString *text = g_string_new(nullptr);

	metric_observe(HISTOGRAM_QUEUE_WAIT, 1000);
	metric_observe(HISTOGRAM_QUEUE_WAIT, 1001);
	metric_observe(HISTOGRAM_QUEUE_WAIT, 100000000);
	metric_render(text);
	std::string all = text->str;
	g_string_free(text, TRUE);
	for (const char *line : { "queue_wait_seconds_bucket{le=\"0.001\"} 1\n",
		 "queue_wait_seconds_bucket{le=\"0.002\"} 2\n",
		 "queue_wait_seconds_bucket{le=\"60.000\"} 2\n",
		 "queue_wait_seconds_bucket{le=\"+Inf\"} 3\n",
		 "queue_wait_seconds_count 3\n",
		 "queue_wait_seconds_sum 100.002001\n" })
		EXPECT_NE(all.find(std::string("\nbamboorudder_") + line),
		    std::string::npos)
		    << line << all;
}
