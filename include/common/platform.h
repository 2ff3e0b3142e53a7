/**
 * @file
 * The platform's object API and its list of instances, as a table of
 * functions. All calls block and may be made from any thread.
 */
#ifndef COMMON_PLATFORM_H
#define COMMON_PLATFORM_H

#include <glib.h>
#include <stdatomic.h>
#include <stdint.h>

#define PLATFORM_ERROR (platform_error_quark())
GQuark platform_error_quark(void);

enum platform_error_code {
	PLATFORM_ERROR_UNREACHED, /**< the call did not take effect */
	PLATFORM_ERROR_UNKNOWN, /**< a write may have taken effect */
	PLATFORM_ERROR_BUSY, /**< refused by the rate limit */
	PLATFORM_ERROR_NOT_FOUND,
	PLATFORM_ERROR_CONFLICT, /**< another version is current */
	PLATFORM_ERROR_PROTOCOL
};

/** An object's text and version; text is to be freed by g_free. */
struct platform_object {
	char *text;
	uint64_t version;
};

struct platform;

struct platform_ops {
	gboolean (*get)(struct platform *platform, const char *name,
	    struct platform_object *out, GError **error);
	/** Writes if version is the current one; version 0 creates. On
	 * success version is the new one. */
	gboolean (*put)(struct platform *platform, const char *name,
	    const char *text, uint64_t *version, GError **error);
	gboolean (*remove)(struct platform *platform, const char *name,
	    uint64_t version, GError **error);
	/** Waits until the object is newer than after_version. An object with
	 * a NULL text tells that wait_ms passed without one. */
	gboolean (*watch)(struct platform *platform, const char *name,
	    uint64_t after_version, uint32_t wait_ms,
	    struct platform_object *out, GError **error);
	/** Lists the names that begin with a prefix; free them by
	 * g_strfreev. */
	gboolean (*list)(struct platform *platform, const char *prefix,
	    char ***names, GError **error);
	/** Reads the list of instances as JSON text. */
	gboolean (
	    *instances)(struct platform *platform, char **text, GError **error);
};

struct platform {
	const struct platform_ops *ops;
	char *base_url;
	uint32_t timeout_ms;
	_Atomic uint32_t stopping; /**< ends waiting watches */
	void *context; /**< of a table of functions round another one */
};

/** Initialises a client of the object API over HTTP. */
void platform_init_http(struct platform *platform, const char *base_url,
    uint32_t timeout_ms);
/** Ends watches that wait, within about a second. */
void platform_stop(struct platform *platform);
void platform_finish(struct platform *platform);

#endif
