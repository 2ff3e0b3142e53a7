#include <signal.h>

#include <fstream>
#include <sstream>

#include "admin_fixture.h"

using namespace e2e;

namespace
{

std::string
read_example(const std::string &name)
{
	std::ifstream file(std::string(SOURCE_ROOT) + "/examples/" + name);
	std::stringstream text;

	text << file.rdbuf();
	return text.str();
}

void
replace_setting(std::string &text, const std::string &key,
    const std::string &value)
{
	size_t start = text.find("\n" + key + " = ");

	ASSERT_NE(start, std::string::npos) << key;
	text.replace(start, text.find('\n', start + 1) - start,
	    "\n" + key + " = " + value);
}

std::string
quoted(const std::string &text)
{
	return "\"" + text + "\"";
}

/* Runs an example deployment's settings and tables on loopback addresses. */
class ExampleDeployment : public ::testing::TestWithParam<const char *>
{
      protected:
	void SetUp() override
	{
		std::string settings = read_example(
		    std::string(GetParam()) + "/daemon.toml");

		fleet.add_daemons(1);
		Daemon &daemon = fleet.daemons[0];
		daemon.process->signal(SIGKILL);
		daemon.process->wait();
		replace_setting(settings, "listen.address",
		    quoted("127.0.0.1:" + std::to_string(daemon.listen_port)));
		replace_setting(settings, "admin.address",
		    quoted("127.0.0.1:" + std::to_string(daemon.admin_port)));
		replace_setting(settings, "peer.address",
		    quoted(daemon.peer_address()));
		replace_setting(settings, "peer.seeds",
		    "[" + quoted(daemon.peer_address()) + "]");
		replace_setting(settings, "platform.url",
		    quoted(fleet.platform_url("")));
		std::ofstream(daemon.settings_path) << settings;
		fleet.start(0);
	}

	Response put(const std::string &table)
	{
		return send_request("PUT",
		    fleet.daemons[0].admin_url("/v1/tables/" + table),
		    read_example(
			std::string(GetParam()) + "/" + table + ".json"),
		    bearer("operator"));
	}

	Fleet fleet;
};

} // namespace

TEST_P(ExampleDeployment, AcceptsItsSettingsAndTables)
{
	Response pools = put("pools"), routes = put("routes");

	EXPECT_EQ(pools.status, 200) << pools.body;
	EXPECT_EQ(routes.status, 200) << routes.body;
	fleet.wait_ready();
	Json table(send_request("GET", fleet.daemons[0].admin_url(ROUTES_PATH),
	    "", bearer("dashboard"))
		       .body);
	Json state(send_request("GET", fleet.daemons[0].admin_url("/v1/pools"),
	    "", bearer("dashboard"))
		       .body);
	std::set<std::string> accounts, domains;
	json_t *row, *list = state.at({ "pools" });
	size_t index;
	json_array_foreach (table.at({ "rows" }), index, row)
		accounts.insert(
		    json_string_value(json_object_get(row, "account")));
	EXPECT_EQ(accounts.size(), 16u);
	ASSERT_EQ(json_array_size(list), 2u);
	EXPECT_EQ(json_array_size(
		      json_object_get(json_array_get(list, 0), "endpoints")),
	    20u);
	EXPECT_EQ(json_array_size(
		      json_object_get(json_array_get(list, 1), "endpoints")),
	    3u);
	/* the key is known, but the account has no route for this path */
	Response response = send_request("GET",
	    fleet.daemons[0].url("/elsewhere"), "",
	    bearer((*accounts.begin() + "-example-key").c_str()));
	EXPECT_EQ(response.status, 403) << response.body;
}

INSTANTIATE_TEST_SUITE_P(Deployments, ExampleDeployment,
    ::testing::Values("cortaviento", "hanseong"),
    [](const auto &info) { return std::string(info.param); });
