#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "common/http_exchange.h"
}

namespace
{

const std::string GET = "GET /a?b=1 HTTP/1.1\r\nHost: h\r\nX-Y: 1\r\n\r\n";
const std::string POST =
    "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
const std::string CHUNKED = "POST /c HTTP/1.1\r\nHost: h\r\n"
			    "Transfer-Encoding: chunked\r\n\r\n"
			    "3\r\nabc\r\n0\r\n\r\n";
const std::string OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct Seen {
	std::string headers, targets;
};

void
on_header(void *context, const char *name, const char *value)
{
	auto *seen = static_cast<Seen *>(context);

	seen->headers += std::string(name) + "=" + value + ";";
}

void
on_head_end(void *context, const char *target)
{
	static_cast<Seen *>(context)->targets += std::string(target) + ";";
}

const http_exchange_ops ops = { on_header, on_head_end };

class HttpExchange : public ::testing::Test
{
      protected:
	HttpExchange()
	{
		http_exchange_init(&exchange, &ops, &seen);
	}

	~HttpExchange() override
	{
		http_exchange_finish(&exchange);
	}

	size_t request(const std::string &text)
	{
		return http_exchange_add_request(&exchange, text.data(),
		    text.size());
	}

	void response(const std::string &text)
	{
		http_exchange_add_response(&exchange, text.data(), text.size());
	}

	struct http_exchange exchange;
	Seen seen;
};

TEST_F(HttpExchange, FollowsARequestAndItsResponse)
{
	EXPECT_FALSE(http_exchange_in_progress(&exchange));
	EXPECT_EQ(request(GET), GET.size());
	EXPECT_TRUE(http_exchange_in_progress(&exchange));
	EXPECT_TRUE(exchange.whole);
	EXPECT_FALSE(exchange.answering);
	EXPECT_EQ(seen.targets, "/a?b=1;");
	EXPECT_EQ(seen.headers, "Host=h;X-Y=1;");
	response(OK.substr(0, 3));
	EXPECT_TRUE(exchange.answering);
	EXPECT_FALSE(exchange.answered);
	response(OK.substr(3));
	EXPECT_TRUE(exchange.answered);
	EXPECT_FALSE(http_exchange_in_progress(&exchange));
	EXPECT_FALSE(exchange.opaque);
}

/* Any cut of the bytes gives the same. */
TEST_F(HttpExchange, FollowsSingleBytes)
{
	for (const std::string &text : { GET, POST, CHUNKED, GET }) {
		for (char byte : text)
			EXPECT_EQ(request(std::string(1, byte)), 1u);
		EXPECT_TRUE(exchange.whole);
		for (char byte : OK)
			response(std::string(1, byte));
		EXPECT_FALSE(http_exchange_in_progress(&exchange));
	}
	EXPECT_EQ(seen.targets, "/a?b=1;/p;/c;/a?b=1;");
	EXPECT_FALSE(exchange.opaque);
}

TEST_F(HttpExchange, LeavesTheNextRequestToItsOwnExchange)
{
	for (const std::string &text : { GET, POST, CHUNKED }) {
		EXPECT_EQ(request(text + POST), text.size());
		EXPECT_EQ(request(POST), 0u);
		response(OK);
		EXPECT_EQ(request(POST), POST.size());
		response(OK);
	}
	EXPECT_FALSE(exchange.opaque);
}

TEST_F(HttpExchange, AnInterimResponseIsNoAnswer)
{
	request("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
		"Expect: 100-continue\r\n\r\n");
	response("HTTP/1.1 100 Con");
	EXPECT_TRUE(exchange.answering);
	response("tinue\r\n\r\n");
	EXPECT_FALSE(exchange.answering);
	request("b");
	response(OK);
	EXPECT_FALSE(http_exchange_in_progress(&exchange));
}

TEST_F(HttpExchange, ResponsesEndByChunksHeadsOrTheEnd)
{
	request(GET);
	response("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		 "2\r\nab\r\n");
	EXPECT_FALSE(exchange.answered);
	response("0\r\n\r\n");
	EXPECT_TRUE(exchange.answered);
	request("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n");
	response("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
	EXPECT_TRUE(exchange.answered);
	request(GET);
	response("HTTP/1.0 200 OK\r\n\r\nall that comes");
	EXPECT_FALSE(exchange.answered);
	http_exchange_end_response(&exchange);
	EXPECT_TRUE(exchange.answered);
}

TEST_F(HttpExchange, ACutResponseIsNotWhole)
{
	for (const char *text : { "HTTP/1.1 200 OK\r\nContent-Le",
		 "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
		 "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
		 "chunked\r\n\r\n2\r\na" }) {
		struct http_exchange cut;

		http_exchange_init(&cut, &ops, &seen);
		http_exchange_add_request(&cut, GET.data(), GET.size());
		http_exchange_add_response(&cut, text, strlen(text));
		http_exchange_end_response(&cut);
		EXPECT_TRUE(cut.answering) << text;
		EXPECT_FALSE(cut.answered) << text;
		http_exchange_finish(&cut);
	}
}

TEST_F(HttpExchange, AnAnswerMayComeBeforeTheEndOfTheRequest)
{
	request(POST.substr(0, POST.size() - 2));
	response(OK);
	EXPECT_TRUE(exchange.answered);
	EXPECT_TRUE(http_exchange_in_progress(&exchange));
	EXPECT_EQ(request("dy" + GET), 2u);
	EXPECT_FALSE(http_exchange_in_progress(&exchange));
}

TEST_F(HttpExchange, WhatIsNotUnderstoodIsOpaque)
{
	EXPECT_EQ(request("\x16\x03\x01 no HTTP"), 11u);
	EXPECT_TRUE(exchange.opaque);
	EXPECT_EQ(request(GET + GET), 2 * GET.size());
	response("anything");
}

TEST_F(HttpExchange, AResponseWithoutARequestIsOpaque)
{
	request(GET);
	response(OK + OK);
	EXPECT_TRUE(exchange.opaque);
}

} // namespace
