#include <gtest/gtest.h>

extern "C" {
#include "common/chat_request.h"
#include "common/http_header.h"
#include "common/path.h"
}

#include <cstring>

TEST(Path, RejectsPathsThatServersInterpretDifferently)
{
	const char *rejected[] = { "", "a", "*", "http://h/v1", "//", "/a//b",
		"/.", "/..", "/a/../b", "/a/./b", "/a/..", "/a/%2e%2e/b",
		"/a/%2E%2e", "/a%2fb", "/a%5Cb", "/a\\b", "/a%", "/a%2",
		"/a%zz", "/a%00", "/a%0d%0ab", "/a%252e", "/a/..;x/b",
		"/a/..%3bx/b", "/a b", "/a\nb", "/a#b", "/\x80" };
	const char *accepted[] = { "/", "/a", "/a/", "/a/b.c", "/v1/..a",
		"/a;v=1", "/a%20b", "/%C3%A9", "/a-_~!$&'()*+,=:@" };

	for (const char *path : rejected)
		EXPECT_FALSE(path_is_normalized(path)) << path;
	for (const char *path : accepted)
		EXPECT_TRUE(path_is_normalized(path)) << path;
}

TEST(HttpHeader, DropsHopByHopInternalAndAuthorizationHeaders)
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

TEST(ChatRequest, ValidatesOnlyMessagesAndMaxTokens)
{
	auto validate = [](const char *body, uint32_t *requested_tokens) {
		return chat_request_validate(body, strlen(body), 100,
		    requested_tokens);
	};
	uint32_t requested_tokens;

	EXPECT_EQ(validate("{\"messages\":[],\"max_tokens\":7}",
		      &requested_tokens),
	    nullptr);
	EXPECT_EQ(requested_tokens, 7u);
	EXPECT_EQ(validate("{\"messages\":[]}", &requested_tokens), nullptr);
	EXPECT_EQ(requested_tokens, 0u);
	EXPECT_NE(validate("{\"messages\":[],\"max_tokens\":101}",
		      &requested_tokens),
	    nullptr);
	EXPECT_NE(validate("{\"messages\":[],\"max_tokens\":1.5}",
		      &requested_tokens),
	    nullptr);
	EXPECT_NE(validate("[]", &requested_tokens), nullptr);
	EXPECT_NE(validate("", &requested_tokens), nullptr);
}
