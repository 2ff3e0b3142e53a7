#include "common/platform.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdbool.h>
#include <string.h>

#include "common/http_client.h"
#include "common/metric.h"

GQuark
platform_error_quark(void)
{
	return g_quark_from_static_string("platform-error");
}

static gboolean
set_error(GError **error, enum platform_error_code code, const char *name,
    const char *text)
{
	metric_add(METRIC_PLATFORM_FAILURES, 1);
	g_set_error(error, PLATFORM_ERROR, code, "platform object %s: %s", name,
	    text);
	return FALSE;
}

static gboolean
send_request(const struct http_request *request, const char *name,
    struct http_response *response, GError **error)
{
	GError *cause = NULL;
	bool not_sent, succeeded;

	metric_add(METRIC_PLATFORM_CALLS, 1);
	succeeded = http_perform(request, response, &cause);
	/* only watches can be cancelled; most of their duration is waiting */
	if (request->cancelled == NULL)
		metric_observe(HISTOGRAM_PLATFORM_CALL, response->duration_us);
	if (!succeeded) {
		not_sent = g_error_matches(cause, HTTP_ERROR,
		    HTTP_ERROR_CONNECT);
		set_error(error,
		    not_sent ? PLATFORM_ERROR_UNREACHED
			     : PLATFORM_ERROR_UNKNOWN,
		    name, cause->message);
		g_error_free(cause);
		return FALSE;
	}
	switch (response->status) {
	case 200:
	case 201:
	case 204:
		return TRUE;
	case 404:
		set_error(error, PLATFORM_ERROR_NOT_FOUND, name, "not found");
		break;
	case 412:
		set_error(error, PLATFORM_ERROR_CONFLICT, name,
		    "another version is current");
		break;
	case 429:
		set_error(error, PLATFORM_ERROR_BUSY, name, "rate limit");
		break;
	case 503:
		set_error(error, PLATFORM_ERROR_UNREACHED, name, "unavailable");
		break;
	default:
		set_error(error, PLATFORM_ERROR_UNKNOWN, name,
		    "unexpected answer");
		break;
	}
	http_response_finish(response);
	return FALSE;
}

static void
object_from_response(struct http_response *response,
    struct platform_object *out)
{
	out->version = http_etag_version(response->etag);
	out->text = g_string_free(response->body, FALSE);
	response->body = NULL;
}

static gboolean
http_get(struct platform *platform, const char *name,
    struct platform_object *out, GError **error)
{
	char *url = g_strdup_printf("%s/objects/%s", platform->base_url, name);
	struct http_request request = { .method = "GET",
		.url = url,
		.timeout_ms = platform->timeout_ms };
	struct http_response response;
	gboolean succeeded = send_request(&request, name, &response, error);

	g_free(url);
	if (succeeded)
		object_from_response(&response, out);
	return succeeded;
}

static gboolean
http_put(struct platform *platform, const char *name, const char *text,
    uint64_t *version, GError **error)
{
	char *url = g_strdup_printf("%s/objects/%s", platform->base_url, name);
	char *etag = g_strdup_printf("\"%" PRIu64 "\"", *version);
	struct http_request request = { .method = "PUT",
		.url = url,
		.body = text,
		.if_match = *version == 0 ? NULL : etag,
		.if_none_match = *version == 0 ? "*" : NULL,
		.timeout_ms = platform->timeout_ms };
	struct http_response response;
	gboolean succeeded = send_request(&request, name, &response, error);

	if (succeeded) {
		*version = http_etag_version(response.etag);
		http_response_finish(&response);
	}
	g_free(etag);
	g_free(url);
	return succeeded;
}

static gboolean
http_remove(struct platform *platform, const char *name, uint64_t version,
    GError **error)
{
	char *url = g_strdup_printf("%s/objects/%s", platform->base_url, name);
	char *etag = g_strdup_printf("\"%" PRIu64 "\"", version);
	struct http_request request = { .method = "DELETE",
		.url = url,
		.if_match = etag,
		.timeout_ms = platform->timeout_ms };
	struct http_response response;
	gboolean succeeded = send_request(&request, name, &response, error);

	if (succeeded)
		http_response_finish(&response);
	g_free(etag);
	g_free(url);
	return succeeded;
}

static gboolean
http_watch(struct platform *platform, const char *name, uint64_t after_version,
    uint32_t wait_ms, struct platform_object *out, GError **error)
{
	char *url = g_strdup_printf("%s/watch/%s?after=%" PRIu64 "&wait_ms=%u",
	    platform->base_url, name, after_version, wait_ms);
	struct http_request request = { .method = "GET",
		.url = url,
		.timeout_ms = platform->timeout_ms + wait_ms,
		.cancelled = &platform->stopping };
	struct http_response response;
	gboolean succeeded = send_request(&request, name, &response, error);

	g_free(url);
	if (!succeeded)
		return FALSE;
	memset(out, 0, sizeof(*out));
	if (response.status == 204)
		http_response_finish(&response);
	else
		object_from_response(&response, out);
	return TRUE;
}

static char **
parse_names(const char *text)
{
	json_t *root = json_loads(text, 0, NULL), *item;
	GPtrArray *names = g_ptr_array_new();
	size_t index;

	json_array_foreach (json_object_get(root, "items"), index, item) {
		const char *name = json_string_value(
		    json_object_get(item, "name"));
		if (name != NULL)
			g_ptr_array_add(names, g_strdup(name));
	}
	json_decref(root);
	g_ptr_array_add(names, NULL);
	return (char **)g_ptr_array_free(names, FALSE);
}

static gboolean
http_list(struct platform *platform, const char *prefix, char ***names,
    GError **error)
{
	char *url = g_strdup_printf("%s/objects?prefix=%s", platform->base_url,
	    prefix);
	struct http_request request = { .method = "GET",
		.url = url,
		.timeout_ms = platform->timeout_ms };
	struct http_response response;
	gboolean succeeded = send_request(&request, prefix, &response, error);

	g_free(url);
	if (!succeeded)
		return FALSE;
	*names = parse_names(response.body->str);
	http_response_finish(&response);
	return TRUE;
}

static gboolean
http_instances(struct platform *platform, char **text, GError **error)
{
	char *url = g_strdup_printf("%s/instances", platform->base_url);
	struct http_request request = { .method = "GET",
		.url = url,
		.timeout_ms = platform->timeout_ms };
	struct http_response response;
	gboolean succeeded = send_request(&request, "instances", &response,
	    error);

	g_free(url);
	if (succeeded)
		*text = g_string_free(response.body, FALSE);
	return succeeded;
}

void
platform_init_http(struct platform *platform, const char *base_url,
    uint32_t timeout_ms)
{
	static const struct platform_ops ops = { http_get, http_put,
		http_remove, http_watch, http_list, http_instances };

	memset(platform, 0, sizeof(*platform));
	platform->ops = &ops;
	platform->base_url = g_strdup(base_url);
	platform->timeout_ms = timeout_ms;
}

void
platform_stop(struct platform *platform)
{
	atomic_store(&platform->stopping, 1);
}

void
platform_finish(struct platform *platform)
{
	g_free(platform->base_url);
	memset(platform, 0, sizeof(*platform));
}
