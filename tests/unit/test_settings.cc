#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "bamboorudderd/settings.h"
}

namespace
{

std::string
read_findings(const std::string &text)
{
	static struct findings findings;
	struct settings settings;
	std::string path = ::testing::TempDir() + "settings.toml", all;
	char line[512];

	EXPECT_TRUE(
	    g_file_set_contents(path.c_str(), text.c_str(), -1, nullptr));
	findings_init(&findings);
	settings_read(path.c_str(), &settings, nullptr, &findings);
	for (size_t i = 0; i < findings.count; i++) {
		finding_format(&findings.items[i], line, sizeof(line));
		all += std::string(line).substr(path.size()) + "\n";
	}
	return all;
}

const char GOOD[] = "listen.address = \"127.0.0.1:1\"\n"
		    "admin.address = \"127.0.0.1:2\"\n"
		    "peer.address = \"127.0.0.1:3\"\n"
		    "platform.url = \"http://127.0.0.1:4\"\n";

} // namespace

TEST(Settings, DefaultsAreEnough)
{
	EXPECT_EQ(read_findings(GOOD), "");
}

TEST(Settings, AllFindingsWithLineAndColumn)
{
	EXPECT_EQ(read_findings(std::string(GOOD) +
		      "listen.worker_threads = \"many\"\n"
		      "listen.body_max_bytes = 1\n"
		      "share.policy = \"lottery\"\n"
		      "colour = \"red\"\n"),
	    ":8:10: unknown key colour\n"
	    ":6:25: listen.body_max_bytes is 1, allowed is 1024 to 16777216 "
	    "bytes\n"
	    ":5:25: listen.worker_threads must be a whole number\n"
	    ":7:16: share.policy must be one of: fleet,naive\n");
}

TEST(Settings, RequiredKeysAreNamed)
{
	EXPECT_EQ(read_findings("platform.url = \"http://127.0.0.1:4\"\n"),
	    ":1:1: listen.address is missing\n"
	    ":1:1: admin.address is missing\n"
	    ":1:1: peer.address is missing\n");
}

TEST(Settings, BrokenTomlHasItsPlace)
{
	EXPECT_EQ(read_findings("a = \n").rfind(":1:", 0), 0u);
}
