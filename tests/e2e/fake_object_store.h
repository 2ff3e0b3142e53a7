/**
 * @file
 * Fake of the platform's object store in the process of the test.
 */
#ifndef TESTS_E2E_FAKE_OBJECT_STORE_H
#define TESTS_E2E_FAKE_OBJECT_STORE_H

#include <civetweb.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "process.h"

namespace e2e
{

/** Object store with paged lists, resumable watches and compaction. */
class FakeObjectStore
{
      public:
	static constexpr int SILENT = -1;

	FakeObjectStore() : port_(free_port())
	{
		std::string port = "127.0.0.1:" + std::to_string(port_);
		const char *options[] = { "listening_ports", port.c_str(),
			"num_threads", "12", "enable_keep_alive", "yes",
			nullptr };
		mg_callbacks callbacks = {};

		callbacks.begin_request = on_request;
		server_ = mg_start(&callbacks, this, options);
		EXPECT_NE(server_, nullptr);
	}

	~FakeObjectStore()
	{
		{
			std::lock_guard<std::mutex> lock(mutex_);
			stopping_ = true;
			changed_.notify_all();
		}
		mg_stop(server_);
	}

	FakeObjectStore(const FakeObjectStore &) = delete;
	FakeObjectStore &operator=(const FakeObjectStore &) = delete;

	std::string url() const
	{
		return "http://127.0.0.1:" + std::to_string(port_);
	}

	/** Creates or replaces an object. @param spec JSON text */
	void put(const std::string &kind, const std::string &name,
	    const std::string &spec)
	{
		std::lock_guard<std::mutex> lock(mutex_);

		put_locked(kind, name, spec);
	}

	void remove(const std::string &kind, const std::string &name)
	{
		std::lock_guard<std::mutex> lock(mutex_);

		++revision_;
		events_.push_back(
		    { revision_, kind, objects_[kind][name], true });
		objects_[kind].erase(name);
		changed_.notify_all();
	}

	/** Discards the history: watches from an earlier revision get a 410. */
	void compact()
	{
		std::lock_guard<std::mutex> lock(mutex_);

		events_.clear();
		compacted_revision_ = ++revision_;
		changed_.notify_all();
	}

	/** Keeps a copy of all objects and of the history. */
	void keep_copy()
	{
		std::lock_guard<std::mutex> lock(mutex_);

		copy_ = { objects_, events_, revision_ };
	}

	/** Goes back to the copy: later revisions are given out again. */
	void restore()
	{
		std::lock_guard<std::mutex> lock(mutex_);

		restore_locked();
	}

	/** Restores the store just before it returns the next page after the
	 * first one of a list, and replaces an endpoint's entry. Further changes
	 * are of other kinds. */
	void restore_before_next_page(const std::string &name,
	    const std::string &spec, uint32_t further_count)
	{
		std::lock_guard<std::mutex> lock(mutex_);

		before_page_ = [this, name, spec, further_count] {
			restore_locked();
			put_locked("servers", name, spec);
			revision_ += further_count;
		};
	}

	/** Makes all further calls fail with an HTTP status, or, with SILENT,
	 * get no response; 0 ends that. */
	void fail_with(int status)
	{
		std::lock_guard<std::mutex> lock(mutex_);

		failure_status_ = status;
		changed_.notify_all();
	}

	uint64_t revision()
	{
		std::lock_guard<std::mutex> lock(mutex_);

		return revision_;
	}

	/** @return number of calls for a kind so far */
	uint32_t call_count(const std::string &kind)
	{
		std::lock_guard<std::mutex> lock(mutex_);

		return call_counts_[kind];
	}

	/** @return number of calls so far that allowed a stale response */
	uint32_t stale_call_count()
	{
		std::lock_guard<std::mutex> lock(mutex_);

		return stale_call_count_;
	}

	/** While set, calls that allow a stale response get the objects that
	 * the store had when it was set. */
	void serve_stale(bool stale)
	{
		std::lock_guard<std::mutex> lock(mutex_);

		stale_ = stale;
		stale_objects_ = objects_;
		stale_revision_ = revision_;
		stale_restores_count_ = restores_count_;
	}

	/** Maximum number of objects in a page of a list. */
	std::atomic<size_t> page_size{ 500 };
	/** A watch began at an earlier revision than one before it. */
	std::atomic<bool> watched_backwards{ false };

      private:
	struct Event {
		uint64_t revision;
		std::string kind;
		std::string object;
		bool deleted;
	};

	static int on_request(mg_connection *connection)
	{
		auto *info = mg_get_request_info(connection);
		auto *store = static_cast<FakeObjectStore *>(info->user_data);
		std::string uri = info->local_uri;
		std::string query = info->query_string == nullptr
		    ? ""
		    : info->query_string;
		std::string body;
		uint32_t restores_count = 0;
		int status = store->respond(uri.substr(uri.rfind('/') + 1),
		    query, &body, &restores_count);
		if (status == SILENT)
			status = store->stay_silent();

		mg_printf(connection,
		    "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
		    "Store-Era: %u\r\nContent-Length: %zu\r\n\r\n%s",
		    status, restores_count + 1, body.size(), body.c_str());
		return 1;
	}

	static std::string parameter(const std::string &query,
	    const std::string &name)
	{
		char value[128];

		return mg_get_var(query.c_str(), query.size(), name.c_str(),
			   value, sizeof(value)) > 0
		    ? value
		    : "";
	}

	/** Outlasts the timeout of the caller. */
	int stay_silent()
	{
		std::unique_lock<std::mutex> lock(mutex_);

		changed_.wait_for(lock, std::chrono::milliseconds(2000),
		    [&] { return stopping_; });
		return 503;
	}

	void put_locked(const std::string &kind, const std::string &name,
	    const std::string &spec)
	{
		std::string object = "{\"metadata\":{\"name\":\"" + name +
		    "\",\"revision\":" + std::to_string(++revision_) +
		    ",\"created\":1,\"finalizers\":[],"
		    "\"deletion_pending\":false},\"spec\":" +
		    spec + ",\"status\":null}";

		objects_[kind][name] = object;
		events_.push_back({ revision_, kind, object, false });
		changed_.notify_all();
	}

	void restore_locked()
	{
		objects_ = copy_.objects;
		events_ = copy_.events;
		revision_ = copy_.revision;
		last_watched_revisions_.clear();
		restores_count_++;
		changed_.notify_all();
	}

	int respond(const std::string &kind, const std::string &query,
	    std::string *body, uint32_t *restores_count)
	{
		std::unique_lock<std::mutex> lock(mutex_);
		int status = respond_locked(lock, kind, query, body);
		bool stale = stale_ && !parameter(query, "allow_stale").empty();

		*restores_count = stale ? stale_restores_count_
					: restores_count_;
		return status;
	}

	int respond_locked(std::unique_lock<std::mutex> &lock,
	    const std::string &kind, const std::string &query,
	    std::string *body)
	{
		std::string from = parameter(query, "watch");

		call_counts_[kind]++;
		if (!from.empty() &&
		    std::stoull(from) < last_watched_revisions_[kind])
			watched_backwards = true;
		if (!from.empty())
			last_watched_revisions_[kind] = std::stoull(from);
		bool allows_stale = !parameter(query, "allow_stale").empty();
		stale_call_count_ += allows_stale;
		if (failure_status_ != 0)
			return failure_status_;
		if (allows_stale && stale_)
			return respond_stale(kind, from, body);
		if (!from.empty())
			return watch(lock, kind, std::stoull(from),
			    (uint32_t)std::stoul(parameter(query, "wait_ms")),
			    body);
		if (before_page_ && !parameter(query, "after").empty()) {
			before_page_();
			before_page_ = nullptr;
		}
		list(objects_[kind], parameter(query, "after"), revision_,
		    body);
		return 200;
	}

	int respond_stale(const std::string &kind, const std::string &from,
	    std::string *body)
	{
		if (!from.empty())
			*body = "{\"events\":[" +
			    events_between(kind, std::stoull(from),
				stale_revision_) +
			    "],\"at\":" + std::to_string(stale_revision_) + "}";
		else
			list(stale_objects_[kind], "", stale_revision_, body);
		return 200;
	}

	void list(const std::map<std::string, std::string> &objects,
	    const std::string &after, uint64_t revision, std::string *body)
	{
		std::string entries;
		size_t count = 0;
		bool has_more = false;

		for (const auto &[name, object] : objects) {
			if (name <= after)
				continue;
			if (count == page_size) {
				has_more = true;
				break;
			}
			entries += (count++ == 0 ? "" : ",") + object;
		}
		*body = "{\"entries\":[" + entries +
		    "],\"has_more\":" + (has_more ? "true" : "false") +
		    ",\"at\":" + std::to_string(revision) + "}";
	}

	/** Events after a revision, up to another one. */
	std::string events_between(const std::string &kind, uint64_t from,
	    uint64_t to)
	{
		std::string events;

		for (const auto &event : events_)
			if (event.revision > from && event.revision <= to &&
			    event.kind == kind)
				events += std::string(
					      events.empty() ? "" : ",") +
				    "{\"deleted\":" +
				    (event.deleted ? "true" : "false") +
				    ",\"object\":" + event.object + "}";
		return events;
	}

	int watch(std::unique_lock<std::mutex> &lock, const std::string &kind,
	    uint64_t from, uint32_t wait_ms, std::string *body)
	{
		std::string events;
		auto find = [&] {
			events = events_between(kind, from, UINT64_MAX);
			return stopping_ || failure_status_ != 0 ||
			    from < compacted_revision_ || from > revision_ ||
			    !events.empty();
		};

		changed_.wait_for(lock, std::chrono::milliseconds(wait_ms),
		    find);
		if (failure_status_ != 0)
			return failure_status_;
		if (from < compacted_revision_ || from > revision_)
			return 410;
		*body = "{\"events\":[" + events +
		    "],\"at\":" + std::to_string(revision_) + "}";
		return 200;
	}

	uint16_t port_;
	mg_context *server_;
	std::mutex mutex_;
	std::condition_variable changed_;
	std::map<std::string, std::map<std::string, std::string>> objects_;
	std::map<std::string, uint32_t> call_counts_;
	uint32_t stale_call_count_ = 0;
	std::map<std::string, uint64_t> last_watched_revisions_;
	bool stale_ = false;
	std::map<std::string, std::map<std::string, std::string>>
	    stale_objects_;
	uint64_t stale_revision_ = 0;
	uint32_t stale_restores_count_ = 0;
	std::deque<Event> events_;
	uint64_t revision_ = 10;
	struct Copy {
		std::map<std::string, std::map<std::string, std::string>>
		    objects;
		std::deque<Event> events;
		uint64_t revision = 0;
	} copy_;
	uint32_t restores_count_ = 0;
	std::function<void()> before_page_;
	uint64_t compacted_revision_ = 0;
	int failure_status_ = 0;
	bool stopping_ = false;
};

} // namespace e2e

#endif
