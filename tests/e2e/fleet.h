/**
 * @file
 * Starts daemons and stand-ins as processes of their own on free loopback
 * ports, for tests over real processes.
 */
#ifndef TESTS_E2E_FLEET_H
#define TESTS_E2E_FLEET_H

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace e2e
{

/** Tokens of the operators that all daemons know. */
constexpr char OPERATOR_TOKEN[] = "operator-token";
constexpr char READER_TOKEN[] = "reader-token";
constexpr char TEAM_OPERATOR_TOKEN[] =
    "desk-token"; /* edits of the team "desk" */

/** A process that ends with its object. */
class Process
{
      public:
	Process(const std::vector<std::string> &argv,
	    const std::string &log_path);
	~Process();
	Process(const Process &) = delete;
	Process &operator=(const Process &) = delete;

	void signal(int number) const;
	/** Waits for the end. @return exit status, or -1 after a signal */
	int wait();
	/** The exit status if it ended within the time, else -2. */
	int wait_with_timeout(uint32_t timeout_ms);
	std::string log() const;
	pid_t pid() const
	{
		return pid_;
	}

      private:
	pid_t pid_;
	std::string log_path_;
	bool ended_ = false;
	int status_ = 0;
};

/** An HTTP answer; whole tells whether it ended properly. */
struct Response {
	long status = 0;
	std::string body;
	std::map<std::string, std::string> headers; /* names in lower case */
	bool complete = false;
	bool connection_refused = false; /* no connection came about */
	std::string error;
};

/** One HTTP call; headers are full lines. */
Response send_request(const std::string &method, const std::string &url,
    const std::string &body = "", const std::vector<std::string> &headers = {},
    uint32_t timeout_ms = 30000);

std::string sha256(const std::string &text);

/** Waits until a condition holds. @return false after timeout_ms */
bool eventually(const std::function<bool()> &condition,
    uint32_t timeout_ms = 20000);

/** @return a loopback port that is free now */
uint16_t free_port();

struct Daemon {
	uint16_t listen_port, admin_port, peer_port;
	std::string settings_path;
	std::unique_ptr<Process> process;

	std::string url(const std::string &path) const;
	std::string admin_url(const std::string &path) const;
	std::string peer_address() const;
};

/** A platform stand-in, daemons and endpoints. */
class Fleet
{
      public:
	explicit Fleet(const std::string &extra_settings = "");
	/** Ends all processes and removes the directory, if the test passed. */
	~Fleet();

	/** Adds daemons; all know each other as seeds. */
	void add_daemons(size_t count);
	/** Starts or restarts a daemon with the settings it was given. */
	void start(size_t index);
	/** Adds an engine. @return its address */
	std::string add_engine(uint32_t slots, uint32_t token_us);
	/** Adds a service. @return its address */
	std::string add_service();
	/** Replaces a table through a daemon; fails the test if refused. */
	void apply_table(const std::string &table, const std::string &text,
	    size_t daemon_index = 0);
	/** Waits until all running daemons have tables in force. */
	void wait_ready();
	std::string platform_url(const std::string &path) const;
	/** Starts or restarts the platform, which is empty then. */
	void start_platform();
	Response admin_request(size_t index, const std::string &method,
	    const std::string &path, const std::string &body = "",
	    const std::vector<std::string> &headers = {});

	std::vector<Daemon> daemons;
	std::map<std::string, std::unique_ptr<Process>> endpoints;
	std::unique_ptr<Process> platform_process;
	std::string directory;

      private:
	std::unique_ptr<Process>
	start_process(const std::string &program_variable,
	    const std::vector<std::string> &arguments, const std::string &name);
	std::string extra_settings_;
	uint16_t platform_port_;
};

/** A pools table of one model pool. */
std::string table_json(const std::string &rows);
std::string model_pool_row(const std::string &name,
    const std::vector<std::string> &addresses, uint32_t slots,
    const std::string &extra_fields = "");
std::string service_pool_row(const std::string &name,
    const std::vector<std::string> &addresses, uint32_t slots);
std::string route_row(const std::string &account, const std::string &key,
    const std::string &path, const std::string &pool,
    const std::string &extra_fields = "");

} // namespace e2e

#endif
