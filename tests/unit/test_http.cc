#include <gtest/gtest.h>

extern "C" {
#include "common/chat_request.h"
#include "common/http_header.h"
#include "common/path.h"
}

#include <cstring>

TEST(Path, TricksAreNotPlain)
{
	const char *bad[] = { "", "a", "*", "http://h/v1", "//", "/a//b", "/.",
		"/..", "/a/../b", "/a/./b", "/a/..", "/a/%2e%2e/b", "/a/%2E%2e",
		"/a%2fb", "/a%5Cb", "/a\\b", "/a%", "/a%2", "/a%zz", "/a%00",
		"/a%0d%0ab", "/a%252e", "/a/..;x/b", "/a/..%3bx/b", "/a b",
		"/a\nb", "/a#b", "/\x80" };
	const char *good[] = { "/", "/a", "/a/", "/a/b.c", "/v1/..a", "/a;v=1",
		"/a%20b", "/%C3%A9", "/a-_~!$&'()*+,=:@" };

	for (const char *path : bad)
		EXPECT_FALSE(path_is_normalized(path)) << path;
	for (const char *path : good)
		EXPECT_TRUE(path_is_normalized(path)) << path;
}

TEST(Header, HopByHopInternalAndKeysStop)
{
	EXPECT_TRUE(http_header_is_forwarded_to_endpoint("Accept", nullptr));
	EXPECT_TRUE(http_header_is_forwarded_to_endpoint("X-Trace", "close"));
	EXPECT_FALSE(
	    http_header_is_forwarded_to_endpoint("X-Trace", "close, x-trace"));
	EXPECT_FALSE(
	    http_header_is_forwarded_to_endpoint("Authorization", nullptr));
	EXPECT_FALSE(http_header_is_forwarded_to_endpoint("TE", nullptr));
	EXPECT_FALSE(
	    http_header_is_forwarded_to_endpoint("bamboorudder-run", nullptr));
	EXPECT_TRUE(http_header_is_forwarded_to_caller("Set-Cookie", nullptr));
	EXPECT_FALSE(http_header_is_forwarded_to_caller("Upgrade", nullptr));
	EXPECT_FALSE(
	    http_header_is_forwarded_to_caller("Bamboorudder-Run", nullptr));
	EXPECT_FALSE(http_header_is_forwarded_to_caller("X-Hop", "X-Hop"));
}

TEST(Completion, OnlyWhatRoutingNeedsIsChecked)
{
	auto check = [](const char *body, uint32_t *hint) {
		return chat_request_validate(body, strlen(body), 100, hint);
	};
	uint32_t hint;

	EXPECT_EQ(check("{\"messages\":[],\"max_tokens\":7}", &hint), nullptr);
	EXPECT_EQ(hint, 7u);
	EXPECT_EQ(check("{\"messages\":[]}", &hint), nullptr);
	EXPECT_EQ(hint, 0u);
	EXPECT_NE(check("{\"messages\":[],\"max_tokens\":101}", &hint),
	    nullptr);
	EXPECT_NE(check("{\"messages\":[],\"max_tokens\":1.5}", &hint),
	    nullptr);
	EXPECT_NE(check("[]", &hint), nullptr);
	EXPECT_NE(check("", &hint), nullptr);
}
