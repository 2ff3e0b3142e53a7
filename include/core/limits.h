/**
 * @file
 * Limits that several modules of the core share.
 */
#ifndef CORE_LIMITS_H
#define CORE_LIMITS_H

#define NAME_MAX_BYTES 64u
/** Longest name of an endpoint, a DNS name, and its end. */
#define ENDPOINT_NAME_MAX_BYTES 254u
#define ADDRESS_MAX_BYTES 64u
#define MEMBERS_MAX_COUNT 1024u
#define GOSSIP_UPDATES_MAX_COUNT 12u
#define GOSSIP_VERSIONS_MAX_COUNT 24u
#define POOLS_MAX_COUNT 256u
#define ENDPOINTS_MAX_COUNT 1024u
#define LOAD_ACCOUNTS_MAX_COUNT 1024u
/** Segments of a prompt that are told apart. */
#define PROMPT_SEGMENTS_MAX_COUNT 16u
/** Endpoints that one request leaves out. */
#define TRIED_MAX_COUNT 4u
/** Attempts, or events of attempts, in one message. */
#define ATTEMPTS_MAX_COUNT 4096u
/** Records of suspected prompt segments in one message. */
#define CRASH_RECORDS_MAX_COUNT 64u
/** Crashes that a record of a prompt segment names. */
#define CRASH_RECORD_IDS_COUNT 4u
/** Requests that a daemon holds in all pools together. */
#define REPORT_ITEMS_MAX_COUNT 4096u

/** A longer gap between two ticks means that the process was suspended. */
#define PAUSE_MIN_MS 1000u

/** Virtual time is counted in thousandths of a token per unit of weight. */
#define VTIME_SCALE 1000

#endif
