#include "fleet.h"

#include <gtest/gtest.h>
#include <signal.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace e2e
{

static std::string
loopback_address(uint16_t port)
{
	return "127.0.0.1:" + std::to_string(port);
}

std::string
Daemon::url(const std::string &path) const
{
	return "http://" + loopback_address(listen_port) + path;
}

std::string
Daemon::admin_url(const std::string &path) const
{
	return "http://" + loopback_address(admin_port) + path;
}

std::string
Daemon::peer_address() const
{
	return loopback_address(peer_port);
}

Fleet::Fleet(const std::string &extra_settings)
    : extra_settings_(extra_settings), platform_port_(free_port())
{
	directory = ::testing::TempDir() + "bamboorudder-e2e-XXXXXX";
	mkdtemp(directory.data());
	start_platform();
}

void
Fleet::start_platform()
{
	platform_process.reset();
	platform_process = start_process("STANDIN_PLATFORM",
	    { loopback_address(platform_port_) }, "platform");
	EXPECT_TRUE(eventually([&] {
		return send_request("GET", platform_url("/standin/counts"))
			   .status == 200;
	}));
}

Fleet::~Fleet()
{
	daemons.clear();
	endpoints.clear();
	platform_process.reset();
	if (!::testing::Test::HasFailure())
		std::filesystem::remove_all(directory);
}

std::unique_ptr<Process>
Fleet::start_process(const std::string &program_variable,
    const std::vector<std::string> &arguments, const std::string &name)
{
	const char *program = getenv(program_variable.c_str());
	std::vector<std::string> argv = { program == nullptr ? "" : program };

	argv.insert(argv.end(), arguments.begin(), arguments.end());
	return std::make_unique<Process>(argv, directory + "/" + name + ".log");
}

std::string
Fleet::platform_url(const std::string &path) const
{
	return "http://" + loopback_address(platform_port_) + path;
}

void
Fleet::add_daemons(size_t count)
{
	std::string seeds;

	for (size_t i = 0; i < count; i++) {
		Daemon daemon = {};
		daemon.listen_port = free_port();
		daemon.admin_port = free_port();
		daemon.peer_port = free_port();
		daemon.settings_path = directory + "/daemon" +
		    std::to_string(daemons.size()) + ".toml";
		daemons.push_back(std::move(daemon));
	}
	for (const auto &daemon : daemons)
		seeds += "\"" + daemon.peer_address() + "\", ";
	for (size_t i = daemons.size() - count; i < daemons.size(); i++) {
		std::ofstream file(daemons[i].settings_path);
		file << "listen.address = \""
		     << loopback_address(daemons[i].listen_port)
		     << "\"\nadmin.address = \""
		     << loopback_address(daemons[i].admin_port)
		     << "\"\nadmin.tokens = [\"" << sha256(OPERATOR_TOKEN)
		     << "\", \"reader:read:" << sha256(READER_TOKEN)
		     << "\", \"desk:edit@desk:" << sha256(TEAM_OPERATOR_TOKEN)
		     << "\"]\npeer.address = \"" << daemons[i].peer_address()
		     << "\"\npeer.seeds = [" << seeds << "]\nplatform.url = \""
		     << platform_url("") << "\"\n"
		     << extra_settings_;
		file.close();
		start(i);
	}
}

void
Fleet::start(size_t index)
{
	Daemon &daemon = daemons[index];

	daemon.process = start_process("BAMBOORUDDERD",
	    { daemon.settings_path }, "daemon" + std::to_string(index));
	EXPECT_TRUE(eventually([&] {
		return send_request("GET", daemon.admin_url("/healthz"))
			   .status == 200;
	})) << daemon.process->log();
}

std::string
Fleet::add_engine(uint32_t slots, uint32_t token_us)
{
	std::string address = loopback_address(free_port());

	endpoints[address] = start_process("STANDIN_ENGINE",
	    { address, std::to_string(slots), std::to_string(token_us) },
	    "engine" + std::to_string(endpoints.size()));
	EXPECT_TRUE(eventually([&] {
		return send_request("GET", "http://" + address + "/load")
			   .status == 200;
	}));
	return address;
}

std::string
Fleet::add_service()
{
	std::string address = loopback_address(free_port());

	endpoints[address] = start_process("STANDIN_SERVICE", { address },
	    "service" + std::to_string(endpoints.size()));
	EXPECT_TRUE(eventually([&] {
		return send_request("GET", "http://" + address + "/stock")
			   .status == 200;
	}));
	return address;
}

Response
Fleet::admin_request(size_t index, const std::string &method,
    const std::string &path, const std::string &body,
    const std::vector<std::string> &headers)
{
	std::vector<std::string> all_headers = headers;

	all_headers.push_back(
	    std::string("Authorization: Bearer ") + OPERATOR_TOKEN);
	return send_request(method, daemons[index].admin_url(path), body,
	    all_headers);
}

void
Fleet::apply_table(const std::string &table, const std::string &text,
    size_t daemon_index)
{
	std::string path = "/v1/tables/" + table;
	std::string etag = admin_request(daemon_index, "GET", path)
			       .headers["etag"];
	Response response = admin_request(daemon_index, "PUT", path, text,
	    etag == "\"0\"" ? std::vector<std::string>{}
			    : std::vector<std::string>{ "If-Match: " + etag });

	EXPECT_EQ(response.status, 200) << response.body;
}

void
Fleet::wait_ready()
{
	for (auto &daemon : daemons)
		EXPECT_TRUE(eventually([&] {
			return send_request("GET", daemon.admin_url("/readyz"))
				   .status == 200;
		}));
}

long
Fleet::metric(size_t index, const std::string &name) const
{
	std::string text =
	    send_request("GET", daemons[index].admin_url("/metrics")).body;
	std::string line = "\nbamboorudder_" + name + " ";
	size_t at = text.find(line);

	if (at == std::string::npos)
		return -1;
	return std::stol(text.substr(at + line.size()));
}

bool
Fleet::sees_live(size_t index, int64_t live_count) const
{
	return eventually(
	    [&] { return metric(index, "members_live") == live_count; });
}

bool
Fleet::all_see_live(int64_t live_count) const
{
	bool all_agree = true;

	for (size_t i = 0; i < daemons.size(); i++)
		all_agree = sees_live(i, live_count) && all_agree;
	return all_agree;
}

std::string
table_json(const std::string &rows)
{
	return "{\"rows\": [" + rows + "]}";
}

static std::string
format_pool_row(const std::string &name, const std::string &kind,
    const std::vector<std::string> &addresses, uint32_t slots,
    const std::string &extra_fields)
{
	std::string list;

	for (const auto &address : addresses)
		list += (list.empty() ? "" : ", ") +
		    ("{\"address\": \"" + address + "\"}");
	return "{\"pool\": \"" + name + "\", \"kind\": \"" + kind +
	    "\", \"slots_per_endpoint\": " + std::to_string(slots) +
	    extra_fields + ", \"endpoints\": [" + list + "]}";
}

std::string
model_pool_row(const std::string &name,
    const std::vector<std::string> &addresses, uint32_t slots,
    const std::string &extra_fields)
{
	return format_pool_row(name, "model", addresses, slots, extra_fields);
}

std::string
service_pool_row(const std::string &name,
    const std::vector<std::string> &addresses, uint32_t slots)
{
	return format_pool_row(name, "service", addresses, slots, "");
}

std::string
route_row(const std::string &account, const std::string &key,
    const std::string &path, const std::string &pool,
    const std::string &extra_fields)
{
	return "{\"account\": \"" + account + "\", \"path\": \"" + path +
	    "\", \"pool\": \"" + pool + "\", \"key_sha256\": [\"" +
	    sha256(key) + "\"]" + extra_fields + "}";
}

} // namespace e2e
