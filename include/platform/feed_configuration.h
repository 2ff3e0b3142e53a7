/**
 * @file
 * What a feed does with the configuration: which version it puts in force, and
 * when a response of the store confirms that one.
 */
#ifndef PLATFORM_FEED_CONFIGURATION_H
#define PLATFORM_FEED_CONFIGURATION_H

#include "platform/feed.h"

/** Puts a configuration in force if it is newer than the one that is. The
 * parameters are those of reflector.apply_object. */
void feed_apply_configuration(struct reflector *reflector, const char *name,
    uint64_t revision, const void *spec);

/** Confirms the configuration in force if the last response shows that it is the
 * newest. */
void feed_on_configuration_response(struct reflector *reflector, bool changed);

/** Tells the sink that the version here was the newest at a time; 0: unknown,
 * and nothing is told. */
void feed_report_freshness(struct reflector *reflector, uint64_t as_of_ms);

#endif
