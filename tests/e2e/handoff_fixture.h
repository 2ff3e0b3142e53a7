/**
 * @file
 * Daemons of one failure domain that pass connections to each other.
 */
#ifndef TESTS_E2E_HANDOFF_FIXTURE_H
#define TESTS_E2E_HANDOFF_FIXTURE_H

#include "gateway_fixture.h"

namespace e2e
{

inline constexpr size_t INSTANCES_COUNT = 3;
/** Settings of an instance that passes all connections on, of one that takes
 * all, and of one that takes none. */
inline const char PASSES[] = "handoff_pass_percent = 100\n";
inline const char TAKES[] =
    "handoff_pass_percent = 0\nhandoff_accept_percent = 0\n";
inline const char TAKES_NONE[] =
    "handoff_pass_percent = 0\nhandoff_accept_percent = 100\n";

/** Three daemons of one failure domain, each with an address of its own. */
class Handoff : public ::testing::Test
{
      protected:
	Handoff()
	    : directory_(::testing::TempDir() + "bamboorudder-handoff-XXXXXX"),
	      listen_port_(free_port()), readiness_port_(free_port()),
	      admin_port_(free_port()), peer_port_(free_port()),
	      handoff_port_(free_port())
	{
		EXPECT_NE(mkdtemp(directory_.data()), nullptr);
	}

	~Handoff() override
	{
		for (auto &daemon : daemons)
			daemon.reset();
		if (!HasFailure())
			std::filesystem::remove_all(directory_);
	}

	/** @param settings what differs between the daemons */
	void start(const std::array<std::string, INSTANCES_COUNT> &settings)
	{
		store.put("config", "main",
		    configuration_json(3, routes, accounts));
		store.put("servers", "e1",
		    endpoint_entry_json("app", endpoint.address()));
		for (size_t i = 0; i < INSTANCES_COUNT; i++)
			start_daemon(i, settings[i]);
		ASSERT_TRUE(eventually([&] {
			for (size_t i = 0; i < INSTANCES_COUNT; i++)
				if (!is_ready(i) || !knows_all(i))
					return false;
			return true;
		})) << daemons[0]->log();
		/* a window of load after the peers are known */
		std::this_thread::sleep_for(std::chrono::milliseconds(400));
	}

	Response send(const std::string &path, const std::string &id,
	    const std::string &body = "b", size_t instance = 0)
	{
		return send_request("POST", url(instance, listen_port_) + path,
		    body,
		    { "Host: a.example", "X-Bamboorudder-Request-Id: " + id,
			"X-Bamboorudder-Deadline-Ms: 8000" },
		    10000);
	}

	/** @return the instance that handled a request; INSTANCES_COUNT if none
	 * did */
	size_t handled_by(const std::string &id)
	{
		size_t instance = INSTANCES_COUNT;

		eventually([&] {
			for (size_t i = 0; i < INSTANCES_COUNT; i++)
				if (daemons[i] != nullptr &&
				    daemons[i]->log().find("event=request id=" +
					id + " ") != std::string::npos)
					instance = i;
			return instance < INSTANCES_COUNT;
		});
		return instance;
	}

	static std::string address(size_t instance)
	{
		return "127.0.0." + std::to_string(instance + 1);
	}

	uint16_t listen_port() const
	{
		return listen_port_;
	}

	ScriptedEndpoint::Script count_runs()
	{
		return [this](Connection &connection,
			   const std::string &request) {
			runs_count++;
			connection.send_text(response_text(request, "whole"));
		};
	}

	size_t count_lines(size_t instance, const std::string &event)
	{
		std::string log = daemons[instance]->log();
		size_t count = 0;

		for (size_t at = 0;
		     (at = log.find(event, at)) != std::string::npos; at++)
			count++;
		return count;
	}

	uint16_t handoff_port() const
	{
		return handoff_port_;
	}

	/** @return the store that an instance uses */
	virtual std::string store_url(size_t instance)
	{
		(void)instance;
		return store.url();
	}

	FakeObjectStore store;
	std::atomic<int> runs_count{ 0 }, lost_count{ 0 };
	ScriptedEndpoint endpoint;
	std::array<std::unique_ptr<Process>, INSTANCES_COUNT> daemons;

      private:
	static std::string url(size_t instance, uint16_t port)
	{
		return "http://" + address(instance) + ":" +
		    std::to_string(port);
	}

	void start_daemon(size_t i, const std::string &settings)
	{
		std::string path = directory_ + "/" + std::to_string(i);
		std::ofstream file(path + ".toml");
		auto at = [&](uint16_t port) {
			return "\"" + address(i) + ":" + std::to_string(port) +
			    "\"\n";
		};

		file << "[listen]\naddress = " << at(listen_port_)
		     << "readiness_address = " << at(readiness_port_)
		     << "[admin]\naddress = " << at(admin_port_)
		     << "[peer]\naddress = " << at(peer_port_)
		     << "handoff_address = " << at(handoff_port_)
		     << "failure_domain = \"z1\"\nseeds = [\"127.0.0.1:"
		     << peer_port_ << "\"]\n"
		     << settings << "[platform]\nform = \"objects\"\nurl = \""
		     << store_url(i) << "\"\nwatch_wait_ms = 300\n"
		     << "[retry]\nslack = 100\n"
		     << "[shutdown]\ngrace_s = 6\n";
		file.close();
		daemons[i] = std::make_unique<
		    Process>(std::vector<std::string>{ getenv("BAMBOORUDDERD"),
				 path + ".toml" },
		    path + ".log");
	}

	bool is_ready(size_t i)
	{
		return send_request("GET", url(i, readiness_port_) + "/readyz")
			   .status == 200;
	}

	bool knows_all(size_t i)
	{
		return count_lines(i, "event=member_up") == INSTANCES_COUNT - 1;
	}

	std::string directory_;
	uint16_t listen_port_, readiness_port_, admin_port_, peer_port_,
	    handoff_port_;
};

inline ScriptedEndpoint::Script
respond(const std::string &body)
{
	return [body](Connection &connection, const std::string &request) {
		connection.send_text(response_text(request, body));
	};
}

/** @return the head of a request whose body is one byte */
inline std::string
hop_head(uint32_t deadline_ms)
{
	return "POST /once/ HTTP/1.1\r\nHost: a.example\r\n"
	       "X-Bamboorudder-Request-Id: hop\r\n"
	       "Content-Length: 1\r\nX-Bamboorudder-Deadline-Ms: " +
	    std::to_string(deadline_ms) + "\r\n\r\n";
}

inline void
sleep_ms(uint32_t time_ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(time_ms));
}

/** Sends an event, and the rest of the stream after a while. */
inline ScriptedEndpoint::Script
stream_slowly(uint32_t pause_ms)
{
	return [pause_ms](Connection &connection, const std::string &request) {
		connection.send_text(event_stream_head(request) +
		    http_chunk("id: 1\ndata: a\n\n"));
		std::this_thread::sleep_for(
		    std::chrono::milliseconds(pause_ms));
		connection.send_text(
		    http_chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
	};
}

} // namespace e2e

#endif
