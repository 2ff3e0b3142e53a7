#include <fcntl.h>
#include <gtest/gtest.h>
#include <jansson.h>
#include <unistd.h>

#include <string>

extern "C" {
#include "common/log.h"
#include "common/metric.h"
}

namespace
{

std::string
logged_line(enum log_format format, enum log_level level)
{
	log_configure(format, LOG_LEVEL_WARN);
	::testing::internal::CaptureStdout();
	log_event(level, "something", "plain", "a", "spaced", "b \"c\"\nd",
	    nullptr);
	return ::testing::internal::GetCapturedStdout();
}

} // namespace

TEST(Log, LogfmtEscapesLineBreaksInValues)
{
	std::string line = logged_line(LOG_FORMAT_LOGFMT, LOG_LEVEL_WARN);

	EXPECT_NE(line.find(" level=warn event=something plain=a "
			    "spaced=\"b \\\"c\\\"\\nd\"\n"),
	    std::string::npos)
	    << line;
}

TEST(Log, JsonWritesOneDocumentPerLine)
{
	std::string line = logged_line(LOG_FORMAT_JSON, LOG_LEVEL_ERROR);
	json_t *root = json_loads(line.c_str(), 0, nullptr);

	EXPECT_STREQ(json_string_value(json_object_get(root, "level")),
	    "error");
	EXPECT_STREQ(json_string_value(json_object_get(root, "spaced")),
	    "b \"c\"\nd");
	EXPECT_EQ(line.find('\n'), line.size() - 1);
	json_decref(root);
}

TEST(Log, OmitsLinesLessSevereThanTheConfiguredLevel)
{
	EXPECT_EQ(logged_line(LOG_FORMAT_LOGFMT, LOG_LEVEL_INFO), "");
}

TEST(Metric, HistogramBucketsIncludeTheirUpperBounds)
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

TEST(Log, ReportsTheNumberOfLinesDroppedByAFullPipe)
{
	int pipe_fds[2], saved_stdout = dup(STDOUT_FILENO);
	uint64_t before = metric_get(METRIC_LOG_DROPPED);
	std::string text;
	char buffer[4096];
	ssize_t length;

	fflush(stdout);
	ASSERT_EQ(pipe(pipe_fds), 0);
	fcntl(pipe_fds[0], F_SETFL, O_NONBLOCK);
	fcntl(pipe_fds[1], F_SETFL, O_NONBLOCK);
	fcntl(pipe_fds[1], F_SETPIPE_SZ, 4096);
	dup2(pipe_fds[1], STDOUT_FILENO);
	log_configure(LOG_FORMAT_LOGFMT, LOG_LEVEL_WARN);
	/* fewer lines than the rate limit, more bytes than the pipe's capacity
	 */
	for (int i = 0; i < 30; i++)
		log_event(LOG_LEVEL_WARN, "many", "long",
		    std::string(300, 'x').c_str(), nullptr);
	while ((length = read(pipe_fds[0], buffer, sizeof(buffer))) > 0)
		text.append(buffer, (size_t)length);
	EXPECT_GT(metric_get(METRIC_LOG_DROPPED), before);
	log_event(LOG_LEVEL_ERROR, "after", nullptr);
	while ((length = read(pipe_fds[0], buffer, sizeof(buffer))) > 0)
		text.append(buffer, (size_t)length);
	dup2(saved_stdout, STDOUT_FILENO);
	close(saved_stdout);
	close(pipe_fds[0]);
	close(pipe_fds[1]);
	EXPECT_NE(text.find("event=log_dropped lines="), std::string::npos);
	EXPECT_NE(text.find("event=after"), std::string::npos);
}

TEST(Log, LimitsTheRateOfInfoLines)
{
	uint64_t before = metric_get(METRIC_LOG_DROPPED);

	log_configure(LOG_FORMAT_LOGFMT, LOG_LEVEL_INFO);
	::testing::internal::CaptureStdout();
	for (int i = 0; i < 5000; i++)
		log_event(LOG_LEVEL_INFO, "many", nullptr);
	std::string text = ::testing::internal::GetCapturedStdout();
	/* the lines of two seconds are written if a new second begins during
	 * the loop */
	EXPECT_GE(metric_get(METRIC_LOG_DROPPED) - before, 5000u - 2 * 400);
	EXPECT_NE(text.find("event=many"), std::string::npos);
}

TEST(Log, WritesWarningsWhileInfoLinesExceedTheirRate)
{
	log_configure(LOG_FORMAT_LOGFMT, LOG_LEVEL_INFO);
	::testing::internal::CaptureStdout();
	for (int i = 0; i < 5000; i++)
		log_event(LOG_LEVEL_INFO, "many", nullptr);
	log_event(LOG_LEVEL_WARN, "changed", nullptr);
	std::string text = ::testing::internal::GetCapturedStdout();
	EXPECT_NE(text.find("event=changed"), std::string::npos);
}

TEST(Log, LimitsTheRateOfErrorLines)
{
	uint64_t before = metric_get(METRIC_LOG_DROPPED);

	::testing::internal::CaptureStdout();
	for (int i = 0; i < 5000; i++)
		log_event(LOG_LEVEL_ERROR, "many", nullptr);
	::testing::internal::GetCapturedStdout();
	EXPECT_GE(metric_get(METRIC_LOG_DROPPED) - before, 5000u - 2 * 400);
}
