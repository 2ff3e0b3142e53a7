#include <signal.h>

#include <fstream>
#include <regex>
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

/* Puts a loopback address in place of a setting. */
void
replace_setting(std::string &text, const std::string &key,
    const std::string &value)
{
	std::regex line("\n" + key + " = [^\n]*");

	ASSERT_TRUE(std::regex_search(text, line)) << key;
	text = std::regex_replace(text, line, "\n" + key + " = " + value);
}

std::string
quoted(const std::string &text)
{
	return "\"" + text + "\"";
}

/* A deployment's settings on loopback, with its tables. */
class Example : public ::testing::TestWithParam<const char *>
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
		    quoted(daemon.peer()));
		replace_setting(settings, "peer.seeds",
		    "[" + quoted(daemon.peer()) + "]");
		replace_setting(settings, "platform.url",
		    quoted(fleet.platform("")));
		std::ofstream(daemon.settings_path) << settings;
		fleet.start(0);
	}

	Answer put(const std::string &table)
	{
		return call("PUT",
		    fleet.daemons[0].admin("/v1/tables/" + table),
		    read_example(
			std::string(GetParam()) + "/" + table + ".json"),
		    bearer("operator"));
	}

	Fleet fleet;
};

} // namespace

TEST_P(Example, StartsWithItsSettingsAndTables)
{
	Answer pools = put("pools"), routes = put("routes");

	EXPECT_EQ(pools.status, 200) << pools.body;
	EXPECT_EQ(routes.status, 200) << routes.body;
	fleet.wait_ready();
	Json table(
	    call("GET", fleet.daemons[0].admin(ROUTES), "", bearer("dashboard"))
		.body);
	Json state(call("GET", fleet.daemons[0].admin("/v1/pools"), "",
	    bearer("dashboard"))
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
	/* an account's key reaches its pool, whose endpoints are not here */
	Answer answer = call("GET", fleet.daemons[0].url("/elsewhere"), "",
	    bearer((*accounts.begin() + "-example-key").c_str()));
	EXPECT_EQ(answer.status, 403) << answer.body;
}

INSTANTIATE_TEST_SUITE_P(Deployments, Example,
    ::testing::Values("cortaviento", "hanseong"),
    [](const auto &info) { return std::string(info.param); });
