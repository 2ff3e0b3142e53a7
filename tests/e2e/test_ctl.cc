#include <signal.h>
#include <stdlib.h>

#include <fstream>
#include <sstream>
#include <thread>

#include "admin_fixture.h"

using namespace e2e;

namespace
{

/** What one run of the command-line tool gave. */
struct Outcome {
	int status;
	std::string output; /* both streams */
};

class Ctl : public Admin
{
      protected:
	void SetUp() override
	{
		setenv("BAMBOORUDDER_TOKEN", OPERATOR, 1);
		Admin::SetUp();
	}

	Outcome run(std::vector<std::string> words, size_t daemon = 0)
	{
		std::string log = fleet.folder + "/ctl" +
		    std::to_string(runs++) + ".log";

		words.insert(words.begin(),
		    { getenv("BAMBOORUDDERCTL"), "--admin",
			fleet.daemons[daemon].admin("") });
		Process process(words, log);
		int status = process.wait_for_ms(30000);
		return { status, process.log() };
	}

	std::string write(const std::string &name, const std::string &text)
	{
		std::string path = fleet.folder + "/" + name;
		std::ofstream(path) << text;
		return path;
	}

	int runs = 0;
};

bool
has(const Outcome &run, const std::string &text)
{
	return run.output.find(text) != std::string::npos;
}

} // namespace

TEST_F(Ctl, ReadsTheStateForPeopleAndScripts)
{
	for (const char *name :
	    { "accounts", "members", "status", "version", "dump" }) {
		Outcome people = run({ name }),
			scripts = run({ "--json", name });
		EXPECT_EQ(people.status, 0) << name << people.output;
		EXPECT_EQ(scripts.status, 0) << name << scripts.output;
		EXPECT_NE(Json(scripts.output).root, nullptr) << scripts.output;
	}
	EXPECT_TRUE(has(run({ "status" }), "CONFIRMED BY"));
	EXPECT_TRUE(has(run({ "routes", "get" }), "/v1/chat"));
	EXPECT_TRUE(has(run({ "pools", "get" }), "model"));
}

TEST_F(Ctl, SetsAndRemovesARow)
{
	Outcome set = run(
	    { "routes", "set", "account=a", "path=/v1/chat", "weight=7" });

	EXPECT_EQ(set.status, 0) << set.output;
	Json table(run({ "--json", "routes", "get" }).output);
	json_t *row = json_array_get(table.at({ "rows" }), 0);
	EXPECT_EQ(json_integer_value(json_object_get(row, "weight")), 7);
	EXPECT_NE(json_object_get(row, "key_sha256"), nullptr);
	EXPECT_TRUE(has(run({ "routes", "history" }), "changed a /v1/chat"));
	EXPECT_EQ(run({ "routes", "remove", "account=a", "path=/v1/chat" })
		      .status,
	    0);
	EXPECT_EQ(accounts().size(), 0u);
	EXPECT_EQ(run({ "routes", "remove", "account=a", "path=/v1/chat" })
		      .status,
	    1);
	EXPECT_EQ(run({ "pools", "set", "pool=chat", "kind=lottery" }).status,
	    1);
}

TEST_F(Ctl, ChecksAFileWithoutADaemon)
{
	std::string broken = write("broken.json", "{\"rows\":\n [}");
	std::string bad = write("bad.json",
	    pools_table(route("a", "k", "no-slash", "chat",
			    ", \"weight\": 0, \"colour\": 1") +
		"," + route("b", "k", "/v1", "chat")));
	std::string good = write("good.json", pools_table(new_row("z")));
	std::string pools = write("pools.json",
	    pools_table(model_pool("other", {}, 1)));
	Outcome found = run({ "routes", "check", bad });

	EXPECT_TRUE(
	    has(run({ "routes", "check", broken }), "broken.json:2:3: "));
	EXPECT_EQ(run({ "routes", "check", broken }).status, 2);
	EXPECT_EQ(found.status, 2);
	for (const char *text : { "bad.json: row 1: unknown field colour",
		 "bad.json: row 1: weight is 0", "row 1: path must begin",
		 "row 2: account b has a key of account a" })
		EXPECT_TRUE(has(found, text)) << text << "\n" << found.output;
	EXPECT_EQ(run({ "routes", "check", good }).status, 0);
	EXPECT_TRUE(has(run({ "routes", "check", good, pools }),
	    "pool chat is not in the pools table"));
}

TEST_F(Ctl, ShowsTheDifferenceBeforeItApplies)
{
	std::string file = write("routes.json",
	    pools_table(new_row("a") + "," + new_row("b")));
	Outcome diff = run({ "routes", "diff", file });

	EXPECT_EQ(diff.status, 0);
	EXPECT_TRUE(has(diff, "+ b /v1/chat")) << diff.output;
	EXPECT_EQ(accounts().size(), 1u);
	Outcome apply = run({ "routes", "apply", file }, 1);
	EXPECT_EQ(apply.status, 0) << apply.output;
	EXPECT_TRUE(has(apply, "+ b /v1/chat"));
	EXPECT_TRUE(has(apply, "accepted as version"));
	EXPECT_EQ(accounts().size(), 2u);
}

TEST_F(Ctl, ALostRaceShowsTheNewerVersionAndTheDifference)
{
	std::string file = write("routes.json",
	    pools_table(new_row("a") + "," + new_row("b")));
	std::string seen = etag(ROUTES);

	ASSERT_EQ(run({ "routes", "set", "account=a", "path=/v1/chat",
			  "weight=3" })
		      .status,
	    0);
	Outcome lost = run({ "--if-match", seen, "routes", "apply", file });
	EXPECT_EQ(lost.status, 1);
	EXPECT_TRUE(has(lost, "412")) << lost.output;
	EXPECT_TRUE(has(lost, "by operator at")) << lost.output;
	EXPECT_TRUE(has(lost, "the current version is"));
	EXPECT_TRUE(has(lost, "weight: 3 -> -"));
	EXPECT_EQ(accounts().size(), 1u);
}

TEST_F(Ctl, UsageIsToldApartFromRefusal)
{
	for (const auto &words :
	    std::vector<std::vector<std::string>>{ { "nonsense" }, { "routes" },
		{ "routes", "apply" }, { "routes", "set", "no-equals" },
		{ "pools", "set", "kind=model" }, { "status", "extra" },
		{ "--nonsense" }, { "routes", "apply", "/does/not/exist" } })
		EXPECT_EQ(run(words).status, 2) << words[0];
	EXPECT_EQ(run({ "--help" }).status, 0);
	setenv("BAMBOORUDDER_TOKEN", "wrong", 1);
	EXPECT_EQ(run({ "status" }).status, 1);
	setenv("BAMBOORUDDER_TOKEN", READER, 1);
	EXPECT_EQ(run({ "drain" }).status, 1);
	EXPECT_EQ(run({ "status" }).status, 0);
	fleet.daemons[0].process->signal(SIGKILL);
	fleet.daemons[0].process->wait();
	EXPECT_EQ(run({ "status" }).status, 1);
}

TEST_F(Ctl, TellsWhyAnAccountWaits)
{
	/* an engine that takes no connection keeps no slot: use a slow one */
	std::string engine = fleet.add_engine(1, 100000);
	std::vector<std::thread> callers;

	ASSERT_EQ(fleet
		      .admin_call(0, "PUT", std::string(POOLS) + "/row",
			  model_pool("chat", { engine }, 1))
		      .status,
	    200);
	EXPECT_TRUE(
	    eventually([&] { return has(run({ "status" }), "3 of 3"); }));
	for (int i = 0; i < 3; i++)
		callers.emplace_back([&] {
			call("POST",
			    fleet.daemons[0].url("/v1/chat/completions"),
			    "{\"messages\": [], \"stream\": true, "
			    "\"standin_tokens\": 20}",
			    { "Authorization: Bearer key-a" });
		});
	EXPECT_TRUE(eventually([&] {
		return has(run({ "--admin", fleet.daemons[1].admin(""),
			       "--admin", fleet.daemons[2].admin(""),
			       "accounts" }),
		    "the pool's 1 slots are taken; the account holds 1");
	}));
	for (auto &caller : callers)
		caller.join();
}

TEST_F(Ctl, DrainsADaemon)
{
	EXPECT_EQ(run({ "drain" }).status, 0);
	EXPECT_EQ(call("GET", fleet.daemons[0].admin("/readyz")).status, 503);
}

TEST_F(Ctl, CompletionsAndManPageKnowEveryCommand)
{
	std::istringstream help(run({ "--help" }).output);
	std::string line, word;
	bool commands = false;
	int count = 0;

	while (std::getline(help, line)) {
		if (commands && std::istringstream(line) >> word) {
			count++;
			for (const char *page : { "completions/"
						  "bamboorudderctl.bash",
				 "completions/_bamboorudderctl",
				 "completions/bamboorudderctl.fish",
				 "bamboorudderctl/bamboorudderctl.1.scd" }) {
				std::ifstream file(
				    std::string(SOURCE_ROOT) + "/" + page);
				std::stringstream text;
				text << file.rdbuf();
				EXPECT_NE(text.str().find(word),
				    std::string::npos)
				    << page << " lacks " << word;
			}
		}
		commands = commands || line == "commands:";
	}
	EXPECT_EQ(count, 8);
}
