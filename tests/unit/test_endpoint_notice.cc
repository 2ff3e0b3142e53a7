#include <gtest/gtest.h>

#include <cstring>

extern "C" {
#include "core/endpoint_notice.h"
#include "platform/wire.h"
}

namespace
{

constexpr uint64_t ENDPOINT = 5, OTHER_ENDPOINT = 6;
constexpr uint64_t PROCESS_START_MS = 1000, NEXT_PROCESS_START_MS = 2000;
constexpr uint64_t NOW_MS = 50000;
constexpr endpoint_statement LEAVING = { true, 0 };

class EndpointNotice : public ::testing::Test
{
      protected:
	EndpointNotice()
	{
		endpoint_notices_init(&notices);
	}

	~EndpointNotice() override
	{
		endpoint_notices_finish(&notices);
	}

	bool record(const endpoint_statement &statement,
	    uint64_t now_ms = NOW_MS)
	{
		return endpoint_notices_record(&notices, ENDPOINT,
		    PROCESS_START_MS, &statement, now_ms);
	}

	uint64_t wait_ms(uint64_t now_ms, uint64_t endpoint_id = ENDPOINT,
	    uint64_t process_start_ms = PROCESS_START_MS)
	{
		return endpoint_notices_wait_ms(&notices, endpoint_id,
		    process_start_ms, now_ms);
	}

	endpoint_notices notices;
};

endpoint_statement
statement_of(uint32_t status,
    std::initializer_list<std::pair<const char *, const char *>> headers)
{
	wire_response response = {};
	wire_request request = {};
	endpoint_statement statement;

	strcpy(request.request_id, "r1");
	response.status = status;
	for (const auto &header : headers)
		wire_parse_response_header(&response, header.first,
		    header.second);
	wire_response_statement(&response, &request, &statement);
	return statement;
}

} // namespace

TEST_F(EndpointNotice, ALeavingProcessStaysLeaving)
{
	EXPECT_TRUE(record(LEAVING));
	EXPECT_FALSE(record(LEAVING));
	record({ false, 10 });
	EXPECT_TRUE(
	    endpoint_notices_leaving(&notices, ENDPOINT, PROCESS_START_MS));
	EXPECT_FALSE(endpoint_notices_leaving(&notices, OTHER_ENDPOINT,
	    PROCESS_START_MS));
}

TEST_F(EndpointNotice, ANoticeDoesNotBindTheNextProcess)
{
	record({ true, 4000 });
	EXPECT_FALSE(endpoint_notices_leaving(&notices, ENDPOINT,
	    NEXT_PROCESS_START_MS));
	EXPECT_EQ(wait_ms(NOW_MS, ENDPOINT, NEXT_PROCESS_START_MS), 0u);
}

TEST_F(EndpointNotice, ALaterShorterPauseDoesNotEndAnEarlierOne)
{
	EXPECT_TRUE(record({ false, 4000 }));
	EXPECT_FALSE(record({ false, 100 }));
	EXPECT_EQ(wait_ms(NOW_MS + 1000), 3000u);
	EXPECT_EQ(wait_ms(NOW_MS + 4000), 0u);
	EXPECT_TRUE(record({ false, 100 }, NOW_MS + 4000));
}

TEST_F(EndpointNotice, NoticesOfManyEndpointsStayBounded)
{
	for (uint64_t i = 0; i < 10000; i++)
		endpoint_notices_record(&notices, 100 + i, 1, &LEAVING,
		    NOW_MS + i);
	EXPECT_LE(g_hash_table_size(notices.notices), 4096u);
	EXPECT_TRUE(endpoint_notices_leaving(&notices, 100 + 9999, 1));
}

TEST(EndpointStatement, OnlyRefusalsWith503AskForAPause)
{
	EXPECT_EQ(statement_of(503, { { "Retry-After", "1.5" } }).pause_ms,
	    1500u);
	EXPECT_EQ(statement_of(200, { { "Retry-After", "1.5" } }).pause_ms, 0u);
	EXPECT_EQ(statement_of(429, { { "Retry-After", "1.5" } }).pause_ms, 0u);
	EXPECT_TRUE(statement_of(200, { { "Server-Leaving", "1" } }).leaving);
	EXPECT_TRUE(statement_of(503, { { "server-leaving", "1" } }).leaving);
	EXPECT_FALSE(statement_of(200, { { "Server-Leaving", "0" } }).leaving);
}

TEST(EndpointStatement, HostileValuesAreBounded)
{
	for (const char *value : { "-3", "", "soon", "nan", "-inf", "3s",
		 "Wed, 21 Oct 2026 07:28:00 GMT" })
		EXPECT_EQ(statement_of(503, { { "Retry-After", value } })
			      .pause_ms,
		    0u)
		    << value;
	for (const char *value : { "1e300", "inf", "999999999999" })
		EXPECT_EQ(statement_of(503, { { "Retry-After", value } })
			      .pause_ms,
		    ENDPOINT_PAUSE_MAX_MS)
		    << value;
	EXPECT_EQ(statement_of(503,
		      { { "Retry-After", "2" }, { "Retry-After", "1" },
			  { "Retry-After", "x" } })
		      .pause_ms,
	    2000u);
}

TEST(EndpointStatement, AResponseToAnotherRequestTellsNothing)
{
	endpoint_statement statement = statement_of(503,
	    { { "X-Bamboorudder-Request-Id", "r2" }, { "Retry-After", "2" },
		{ "Server-Leaving", "1" } });

	EXPECT_FALSE(statement.leaving);
	EXPECT_EQ(statement.pause_ms, 0u);
}
