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

const char REQUIRED_KEYS[] = "listen.address = \"127.0.0.1:1\"\n"
			     "admin.address = \"127.0.0.1:2\"\n"
			     "peer.address = \"127.0.0.1:3\"\n"
			     "platform.url = \"http://127.0.0.1:4\"\n";

} // namespace

TEST(Settings, RequiredKeysAloneAreValid)
{
	EXPECT_EQ(read_findings(REQUIRED_KEYS), "");
}

TEST(Settings, ReportsAllFindingsWithLineAndColumn)
{
	EXPECT_EQ(read_findings(std::string(REQUIRED_KEYS) +
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

TEST(Settings, ReportsMissingRequiredKeys)
{
	EXPECT_EQ(read_findings("platform.url = \"http://127.0.0.1:4\"\n"),
	    ":1:1: listen.address is missing\n"
	    ":1:1: admin.address is missing\n"
	    ":1:1: peer.address is missing\n");
}

TEST(Settings, ReportsPositionOfTomlSyntaxError)
{
	EXPECT_EQ(read_findings("a = \n").rfind(":1:", 0), 0u);
}

TEST(Settings, ReportsDuplicateKeys)
{
	EXPECT_EQ(read_findings(std::string(REQUIRED_KEYS) +
		      "listen.address = \"127.0.0.1:9\"\n")
		      .rfind(":5:", 0),
	    0u);
}

TEST(Settings, ValidatesFormatOfAddressesAndOperators)
{
	for (const char *address : { "localhost:80", "127.0.0.1", "1.2.3:80",
		 "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:8x", ":80" })
		EXPECT_EQ(read_findings("listen.address = \"127.0.0.1:1\"\n"
					"admin.address = \"127.0.0.1:2\"\n"
					"peer.address = \"127.0.0.1:3\"\n"
					"platform.url = \"127.0.0.1:4\"\n"
					"admin.tokens = [\"token\"]\n"
					"peer.seeds = [\"127.0.0.1:3\",\n \"" +
			      std::string(address) + "\"]\n"),
		    ":5:17: admin.tokens must be NAME:SCOPE:SHA256 or a hash\n"
		    ":7:2: peer.seeds must be ip:port\n"
		    ":4:16: platform.url must begin with http:// or "
		    "https://\n")
		    << address;
}

TEST(Settings, PrintMasksSecrets)
{
	std::string path = ::testing::TempDir() + "print.toml";
	std::string hash(64, 'a');
	std::string text = std::string(REQUIRED_KEYS) + "admin.tokens = [\"" +
	    hash +
	    "\"]\npeer.public_key = \"p\"\npeer.secret_key = \"hidden\"\n";
	enum settings_source sources[128];
	static struct findings findings;
	struct settings settings;
	GString *out = g_string_new(nullptr);

	ASSERT_TRUE(
	    g_file_set_contents(path.c_str(), text.c_str(), -1, nullptr));
	findings_init(&findings);
	ASSERT_TRUE(settings_read(path.c_str(), &settings, sources, &findings));
	settings_print(&settings, sources, out);
	EXPECT_EQ(strstr(out->str, "hidden"), nullptr);
	EXPECT_EQ(strstr(out->str, hash.c_str()), nullptr);
	EXPECT_NE(strstr(out->str, "listen.worker_threads = 128  # default\n"),
	    nullptr);
	EXPECT_NE(strstr(out->str,
		      "listen.address = \"127.0.0.1:1\"  # file\n"),
	    nullptr);
	g_string_free(out, TRUE);
}
