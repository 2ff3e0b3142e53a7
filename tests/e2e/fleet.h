/**
 * @file
 * Runs daemons and stand-ins as separate processes on free loopback ports.
 */
#ifndef TESTS_E2E_FLEET_H
#define TESTS_E2E_FLEET_H

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "process.h"

namespace e2e
{

/** Operator tokens that the settings of all daemons contain. */
constexpr char OPERATOR_TOKEN[] = "operator-token";
constexpr char READER_TOKEN[] = "reader-token";
/** May edit accounts of the team "desk". */
constexpr char TEAM_OPERATOR_TOKEN[] = "desk-token";

struct Daemon {
	uint16_t listen_port, admin_port, peer_port;
	std::string settings_path;
	std::unique_ptr<Process> process;

	std::string url(const std::string &path) const;
	std::string admin_url(const std::string &path) const;
	std::string peer_address() const;
};

/** A platform stand-in, daemons, and endpoints. */
class Fleet
{
      public:
	explicit Fleet(const std::string &extra_settings = "");
	/** Kills all processes; removes the directory if the test passed. */
	~Fleet();

	/** Starts daemons that have all daemons as seeds. */
	void add_daemons(size_t count);
	/** Starts or restarts a daemon with its settings file. */
	void start(size_t index);
	/** Starts an engine. @return its address */
	std::string add_engine(uint32_t slots, uint32_t token_us);
	/** Starts a service. @return its address */
	std::string add_service();
	/** Replaces a table through a daemon; fails the test on an error. */
	void apply_table(const std::string &table, const std::string &text,
	    size_t daemon_index = 0);
	/** Waits until all running daemons have tables in force. */
	void wait_ready();
	/** @return the value of a daemon's gauge or counter, -1 if there is
	 * none */
	long metric(size_t index, const std::string &name) const;
	/** Waits until a daemon sees that many live ones. */
	bool sees_live(size_t index, int64_t live_count) const;
	/** Waits until all daemons see that many live ones. */
	bool all_see_live(int64_t live_count) const;
	std::string platform_url(const std::string &path) const;
	/** Starts or restarts the platform with an empty store. */
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

/** @return a table with these rows as JSON */
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
