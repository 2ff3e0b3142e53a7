/**
 * @file
 * Fixture with a daemon, a scripted endpoint and an engine, and a caller that
 * sends raw bytes.
 */
#ifndef TESTS_E2E_RESPONSES_H
#define TESTS_E2E_RESPONSES_H

#include <gtest/gtest.h>

#include <thread>

#include "fleet.h"
#include "scripted_endpoint.h"

namespace e2e
{

inline const std::vector<std::string> AUTHORIZATION = {
	"Authorization: Bearer key-a"
};
inline const std::string SETTINGS = "request.idle_timeout_ms = 1000\n"
				    "request.timeout_ms = 20000\n"
				    "request.connect_timeout_ms = 500\n";

inline std::string
response_head(const std::string &lines, const std::string &status = "200 OK")
{
	return "HTTP/1.1 " + status + "\r\n" + lines + "\r\n";
}

inline std::string
sse_event(int i)
{
	return "id: " + std::to_string(i) +
	    "\ndata: {\"t\":" + std::to_string(i) + "}\n\n";
}

inline const std::string STREAM_HEAD = response_head(
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
inline const std::string DONE_EVENT = "data: [DONE]\n\n";

/* Sends raw bytes to a daemon. */
class RawCaller
{
      public:
	explicit RawCaller(const Daemon &daemon)
	{
		sockaddr_in address = {};
		timeval limit = { 15, 0 };

		fd_ = socket(AF_INET, SOCK_STREAM, 0);
		setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		address.sin_port = htons(daemon.listen_port);
		EXPECT_EQ(connect(fd_, reinterpret_cast<sockaddr *>(&address),
			      sizeof(address)),
		    0);
	}

	~RawCaller()
	{
		close(fd_);
	}

	RawCaller(const RawCaller &) = delete;
	RawCaller &operator=(const RawCaller &) = delete;

	void send_text(const std::string &text)
	{
		::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
	}

	/* Reads until the daemon closes the connection. */
	std::string read_all()
	{
		std::string text;

		while (read_some(&text))
			continue;
		return text;
	}

	bool read_some(std::string *text, size_t limit_bytes = 4096)
	{
		char buffer[4096];
		ssize_t count = recv(fd_, buffer,
		    std::min(limit_bytes, sizeof(buffer)), 0);

		if (count > 0)
			text->append(buffer, (size_t)count);
		return count > 0;
	}

	/* Segments with data that the daemon has sent. */
	uint32_t segments_count() const
	{
		return received_segments_count(fd_);
	}

      private:
	int fd_;
};

class Responses : public ::testing::Test
{
      protected:
	explicit Responses(const std::string &extra_settings = "")
	    : fleet(SETTINGS + extra_settings)
	{
	}

	void SetUp() override
	{
		engine = fleet.add_engine(4, 1000);
		fleet.add_daemons(1);
		fleet.apply_table("pools",
		    table_json(
			service_pool_row("plain", { scripted.address() }, 8) +
			"," +
			model_pool_row("scripted", { scripted.address() }, 8) +
			"," +
			model_pool_row("resumed", { scripted.address() }, 8,
			    ", \"resume\": true") +
			"," +
			model_pool_row("engine", { engine }, 4,
			    ", \"resume\": true")));
		fleet.apply_table("routes",
		    table_json(route_row("a", "key-a", "/plain", "plain") +
			"," + route_row("a", "key-a", "/scripted", "scripted") +
			"," + route_row("a", "key-a", "/resumed", "resumed") +
			"," + route_row("a", "key-a", "/v1/chat", "engine") +
			"," + route_row("b", "key-b", "/other", "plain")));
		fleet.wait_ready();
	}

	Response get(const std::string &path)
	{
		return send_request("GET", fleet.daemons[0].url(path), "",
		    AUTHORIZATION);
	}

	Response post_completion(const std::string &path,
	    const std::string &extra_fields = "")
	{
		return send_request("POST", fleet.daemons[0].url(path),
		    "{\"messages\": [], \"stream\": true" + extra_fields + "}",
		    AUTHORIZATION);
	}

	std::string send_raw(const std::string &text)
	{
		RawCaller caller(fleet.daemons[0]);

		caller.send_text(text);
		return caller.read_all();
	}

	uint64_t engine_counter(const std::string &name)
	{
		std::string text = send_request("GET",
		    "http://" + engine + "/standin/counts")
				       .body;
		size_t at = text.find("\"" + name + "\":");

		return at == std::string::npos
		    ? 0
		    : std::stoull(text.substr(at + name.size() + 3));
	}

	ScriptedEndpoint scripted;
	Fleet fleet;
	std::string engine;
};

} // namespace e2e

#endif
