/**
 * @file
 * Interface to the platform's object store and its list of instances, as a table
 * of functions. All functions block and may be called from any thread.
 */
#ifndef COMMON_PLATFORM_H
#define COMMON_PLATFORM_H

#include <glib.h>
#include <stdatomic.h>
#include <stdint.h>

#define PLATFORM_ERROR (platform_error_quark())
GQuark platform_error_quark(void);

enum platform_error_code {
	PLATFORM_ERROR_UNREACHED, /**< the request did not take effect */
	PLATFORM_ERROR_UNKNOWN, /**< a write may have taken effect */
	PLATFORM_ERROR_BUSY, /**< rejected by the rate limit */
	PLATFORM_ERROR_NOT_FOUND,
	PLATFORM_ERROR_CONFLICT, /**< another version is current */
	PLATFORM_ERROR_PROTOCOL
};

/** Text and version of an object. The text must be freed with g_free. */
struct platform_object {
	char *text;
	uint64_t version;
};

struct platform;

struct platform_ops {
	gboolean (*get)(struct platform *platform, const char *name,
	    struct platform_object *out, GError **error);
	/** Writes the object if *version is current, or creates it if *version
	 * is 0. Sets *version to the new one on success. */
	gboolean (*put)(struct platform *platform, const char *name,
	    const char *text, uint64_t *version, GError **error);
	gboolean (*remove)(struct platform *platform, const char *name,
	    uint64_t version, GError **error);
	/** Waits until the object is newer than after_version. Returns an
	 * object with a NULL text if that takes longer than wait_ms. */
	gboolean (*watch)(struct platform *platform, const char *name,
	    uint64_t after_version, uint32_t wait_ms,
	    struct platform_object *out, GError **error);
	/** Lists the names with a prefix; to be freed with g_strfreev. */
	gboolean (*list)(struct platform *platform, const char *prefix,
	    char ***names, GError **error);
	/** Reads the list of instances as JSON text, to be freed with g_free.
	 */
	gboolean (
	    *instances)(struct platform *platform, char **text, GError **error);
};

struct platform {
	const struct platform_ops *ops;
	char *base_url;
	uint32_t timeout_ms;
	_Atomic uint32_t stopping; /**< aborts watches */
	void *context; /**< for function tables that wrap another one */
};

/** Initialises an HTTP client of the object store. */
void platform_init_http(struct platform *platform, const char *base_url,
    uint32_t timeout_ms);
/** Aborts all watches within about a second. */
void platform_stop(struct platform *platform);
void platform_finish(struct platform *platform);

#endif
