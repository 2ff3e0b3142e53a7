#include <gtest/gtest.h>
#include <jansson.h>

#include <string>

extern "C" {
#include "bamboorudderd/operator.h"
#include "bamboorudderd/table_doc.h"
#include "common/table_diff.h"
}

namespace
{

std::string
hash_of(const char *token)
{
	char digest[DIGEST_HEX_BYTES + 1];

	digest_sha256_hex(token, digest);
	return digest;
}

} // namespace

TEST(Operator, ParsesAllFormats)
{
	std::string hash = hash_of("t");
	struct operator_entry entry;

	EXPECT_EQ(operator_parse(hash.c_str(), &entry), nullptr);
	EXPECT_EQ(entry.scope, OPERATOR_EDIT);
	EXPECT_EQ(operator_parse(("anna:read:" + hash).c_str(), &entry),
	    nullptr);
	EXPECT_EQ(entry.scope, OPERATOR_READ);
	EXPECT_STREQ(entry.name, "anna");
	EXPECT_EQ(operator_parse(("b:edit@desk:" + hash).c_str(), &entry),
	    nullptr);
	EXPECT_EQ(entry.scope, OPERATOR_EDIT_TEAM);
	EXPECT_STREQ(entry.team, "desk");
}

TEST(Operator, RejectsInvalidEntries)
{
	std::string hash = hash_of("t");
	struct operator_entry entry;

	for (const std::string &text : { std::string(""), std::string("token"),
		 "a:own:" + hash, "a:edit@:" + hash, ":edit:" + hash,
		 "a b:edit:" + hash, "a:edit:" + hash + ":x",
		 "a:edit:" + hash.substr(1), "a:edit:" + hash + "0" })
		EXPECT_NE(operator_parse(text.c_str(), &entry), nullptr)
		    << text;
}

TEST(Operator, IsFoundOnlyByItsToken)
{
	struct operator_entry entries[2];

	operator_parse(("a:read:" + hash_of("one")).c_str(), &entries[0]);
	operator_parse(("b:edit:" + hash_of("two")).c_str(), &entries[1]);
	EXPECT_EQ(operator_find(entries, 2, "two"), &entries[1]);
	EXPECT_EQ(operator_find(entries, 2, "three"), nullptr);
	EXPECT_EQ(operator_find(entries, 2, hash_of("two").c_str()), nullptr);
	EXPECT_EQ(operator_find(entries, 2, ""), nullptr);
	EXPECT_EQ(operator_find(entries, 2, nullptr), nullptr);
	EXPECT_EQ(operator_find(entries, 0, "one"), nullptr);
}

TEST(TableDiff, ReportsRowsAndFieldsButIgnoresOrder)
{
	json_t *before = json_loads("[{\"pool\": \"a\", \"x\": 1},"
				    " {\"pool\": \"b\"}, {\"pool\": \"c\"}]",
	    0, nullptr);
	json_t *after = json_loads("[{\"pool\": \"c\"}, {\"pool\": \"d\"},"
				   " {\"pool\": \"a\", \"x\": 2, \"y\": 3}]",
	    0, nullptr);
	json_t *diff = table_diff(TABLE_POOLS, before, after);
	char *text = json_dumps(diff, JSON_COMPACT | JSON_SORT_KEYS);

	EXPECT_STREQ(text,
	    "[{\"change\":\"removed\",\"row\":\"b\"},"
	    "{\"change\":\"added\",\"row\":\"d\"},"
	    "{\"change\":\"changed\",\"fields\":{\"x\":[1,2],"
	    "\"y\":[null,3]},\"row\":\"a\"}]");
	free(text);
	json_decref(diff);
	json_decref(before);
	json_decref(after);
}

TEST(TableDoc, TracksVersionOfEachEdit)
{
	struct table_doc doc, next;
	json_t *rows = json_array(), *none = json_array(), *since;
	struct table_doc_edit edit = { "id-1", "anna", 1000, none };
	char *text;

	table_doc_init(&doc, "{\"rows\": []}", 5);
	text = table_doc_edited_text(&doc, rows, &edit);
	table_doc_init(&next, text, 9);
	free(text);
	EXPECT_EQ(table_doc_edit_version(&next, "id-1"), 9u);
	EXPECT_EQ(table_doc_edit_version(&next, "id-2"), 0u);
	table_doc_finish(&doc);
	edit.id = "id-2";
	text = table_doc_edited_text(&next, rows, &edit);
	table_doc_init(&doc, text, 12);
	free(text);
	EXPECT_EQ(table_doc_edit_version(&doc, "id-1"), 9u);
	EXPECT_EQ(table_doc_edit_version(&doc, "id-2"), 12u);
	since = table_doc_edits_since(&doc, 9);
	EXPECT_EQ(json_array_size(since), 1u);
	json_decref(since);
	json_decref(rows);
	json_decref(none);
	table_doc_finish(&doc);
	table_doc_finish(&next);
}

TEST(TableDoc, ReadsInvalidDocumentAsEmptyTable)
{
	for (const char *text : { "", "[]", "{\"rows\": 1, \"history\": {}}",
		 "{\"rows\": [], \"history\": [1, {}, {\"id\": 2}]}" }) {
		struct table_doc doc;
		json_t *history;
		table_doc_init(&doc, text, 3);
		EXPECT_EQ(json_array_size(doc.rows), 0u);
		EXPECT_EQ(table_doc_edit_version(&doc, "x"), 0u);
		history = table_doc_history(&doc);
		EXPECT_TRUE(json_is_array(history));
		json_decref(history);
		table_doc_finish(&doc);
	}
}
