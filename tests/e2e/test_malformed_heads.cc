/*
 * A head that is not HTTP/1.x tells neither what the response is nor where it ends.
 * It must not reach a caller as a success.
 */
#include <fstream>

#include "gateway_fixture.h"
#include "http_client_fixture.h"
#include "responses.h"

using namespace e2e;

namespace
{

const std::string BODY(800, 'b');
const std::string LENGTH = "Content-Length: 800\r\n";

/** A head of which only a part is malformed. */
struct Head {
	const char *name;
	std::string fields; /* beside id and signature */
	std::string signature = "X-Bamboorudder-Replica-Signature: sig\r\n";
	std::string status_line = "HTTP/1.1 200 OK\r\n";
};

const std::vector<Head> heads = {
	/* review/12 */
	{ "TwoLengths", LENGTH + "Content-Length: 500\r\n" },
	{ "ListOfLengths", "Content-Length: 500, 800\r\n" },
	{ "LetterInALength", "Content-Length: 80O\r\n" },
	{ "BlankInALength", "Content-Length: 8 00\r\n" },
	{ "LengthBesideChunks", LENGTH + "Transfer-Encoding: chunked\r\n" },
	{ "BlankBeforeTheColon", "Content-Length : 800\r\n" },
	/* review/14 */
	{ "ReturnInASignature", LENGTH,
	    "X-Bamboorudder-Replica-Signature: sig\r-1\r\n" },
	{ "FoldedSignature", LENGTH,
	    "X-Bamboorudder-Replica-Signature:\r\n sig-1\r\n" },
	{ "FoldedField", LENGTH + "X-Kept: one\r\n two\r\n" },
	{ "NoColon", LENGTH + "X-Kept\r\n" },
	{ "EmptyName", LENGTH + ": value\r\n" },
	{ "BlankInAName", LENGTH + "X Kept: value\r\n" },
	{ "ControlCharacter", LENGTH + "X-Kept: a\x01z\r\n" },
	{ "LongStatus", LENGTH, "X-Bamboorudder-Replica-Signature: sig\r\n",
	    "HTTP/1.1 2000 OK\r\n" },
	{ "MalformedInterimHead", LENGTH,
	    "X-Bamboorudder-Replica-Signature: sig\r\n",
	    "HTTP/1.1 103 Early Hints\r\nX-Kept\r\n\r\nHTTP/1.1 200 OK\r\n" },
};

void
PrintTo(const Head &head, std::ostream *out)
{
	*out << head.name;
}

std::string
head_name(const ::testing::TestParamInfo<Head> &info)
{
	return info.param.name;
}

class MalformedHeads : public Gateway,
		       public ::testing::WithParamInterface<Head>
{
};

TEST_P(MalformedHeads, AreNoSuccessAndAreLogged)
{
	const Head &head = GetParam();

	first_endpoint.set_script(
	    [this, head](Connection &connection, const std::string &request) {
		    size_t start = request.find("X-Bamboorudder-Request-Id");
		    size_t end = request.find("\r\n", start) + 2;

		    first_request_count++;
		    connection.send_text(head.status_line +
			request.substr(start, end - start) + head.signature +
			head.fields + "\r\n" + BODY);
	    });
	start();
	Response response = send_until_taken();
	EXPECT_EQ(response.status, 502) << response.body.size();
	EXPECT_TRUE(harness.logged("event=attempt"));
	EXPECT_TRUE(harness.logged("ended=no_answer"));
	EXPECT_EQ(first_request_count, 1);
	/* the daemon and its other responses are not affected */
	first_endpoint.set_script(
	    count_and_respond(&first_request_count, BODY));
	EXPECT_EQ(send_until_taken().body, BODY);
}

INSTANTIATE_TEST_SUITE_P(Heads, MalformedHeads, ::testing::ValuesIn(heads),
    head_name);

/** The inputs from which the fuzz target starts. */
std::vector<std::string>
corpus_heads()
{
	std::vector<std::string> heads;

	for (const auto &entry : std::filesystem::directory_iterator(
		 SOURCE_ROOT "/tests/fuzz/corpus/http_head")) {
		std::ifstream file(entry.path(), std::ios::binary);
		std::ostringstream text;

		text << file.rdbuf();
		heads.push_back(text.str());
	}
	return heads;
}

/* The sanitizers of a build show what such a head does to the library. */
TEST_F(Gateway, NoHeadOfTheFuzzCorpusEndsTheDaemon)
{
	std::vector<std::string> corpus = corpus_heads();

	ASSERT_FALSE(corpus.empty());
	first_endpoint.set_script([this, corpus](Connection &connection,
				      const std::string &request) {
		int number = first_request_count++;

		if (number % 2 == 0)
			connection.send_text(response_text(request, "whole"));
		else
			connection.send_text(
			    corpus[(size_t)number / 2 % corpus.size()] + "ok");
	});
	start();
	for (size_t i = 0; i < corpus.size(); i++) {
		ASSERT_EQ(send_until_taken().status, 200);
		ASSERT_NE(send_until_taken().status, 0);
	}
}

class OwnMalformedHeads : public Responses,
			  public ::testing::WithParamInterface<Head>
{
      protected:
	Response post()
	{
		return send_request("POST", fleet.daemons[0].url("/plain"), "b",
		    AUTHORIZATION);
	}
};

TEST_P(OwnMalformedHeads, AreNoSuccess)
{
	const Head &head = GetParam();

	scripted.set_script(
	    [head](Connection &connection, const std::string &) {
		    connection.send_text(head.status_line + head.signature +
			head.fields + "\r\n" + BODY);
	    });
	Response response = post();
	EXPECT_EQ(response.status, 502);
	EXPECT_EQ(response.headers["bamboorudder-run"], "unknown");
}

INSTANTIATE_TEST_SUITE_P(Heads, OwnMalformedHeads, ::testing::ValuesIn(heads),
    head_name);

/* What a malformed head says of a run counts for nothing. */
TEST_F(OwnMalformedHeads, DoNotTellThatARequestWasNotRun)
{
	scripted.set_script([](Connection &connection, const std::string &) {
		connection.send_text("HTTP/1.1 503 Full\r\n"
				     "Bamboorudder-Run: not-run\r\n"
				     "Content-Length: 0\r\nX-Kept\r\n\r\n");
	});
	Response response = post();
	EXPECT_EQ(response.status, 502);
	EXPECT_EQ(scripted.requests().size(), 1u);
}

class ClientMalformedHeads : public HttpClient,
			     public ::testing::WithParamInterface<Head>
{
};

TEST_P(ClientMalformedHeads, AreNoResponse)
{
	const Head &head = GetParam();

	server.set_script([head](Connection &connection, const std::string &) {
		connection.send_text(head.status_line + head.signature +
		    head.fields + "\r\n" + BODY);
	});
	EXPECT_FALSE(perform());
}

INSTANTIATE_TEST_SUITE_P(Heads, ClientMalformedHeads,
    ::testing::ValuesIn(heads), head_name);

} // namespace
