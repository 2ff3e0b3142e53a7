#include <string.h>

#include "core/dispatch_private.h"

/* Admission limit on the backlog: a base plus a fifth of the latency target. */
#define ADMISSION_LIMIT_BASE_MS 120u
#define ADMISSION_LIMIT_TARGET_PERCENT 20u
/* Accounts up to this part of their fair share get the whole admission limit,
 * accounts at their fair share a part of it, and accounts far above none, with
 * linear slopes in between. Accounts that ask for more than the capacity settle
 * near their fair share. */
#define SHARE_FULL_LIMIT_PERMILLE 600u
#define SHARE_FAIR_PERMILLE 1000u
#define SHARE_ZERO_LIMIT_PERMILLE 1300u
#define LIMIT_AT_FAIR_SHARE_PERCENT 30u
/* Below this mean backlog of a pool's engines, shares affect the limit in part
 * only: the tokens served lately tell little of the capacity while engines are
 * idle. */
#define SHARES_FULL_EFFECT_BACKLOG_MS 100u
/* Only this much of a request's own prefill counts against the limit, so that
 * large prompts are not refused for their size. */
#define COUNTED_PREFILL_MAX_MS 100u
/* A refused caller is told to retry soon after the backlog will be within its
 * account's limit, so that its request can still meet its deadline. A caller
 * whose account is far over its fair share is told to wait longer. */
#define RETRY_SOON_MS 80u
#define RETRY_SOON_SPREAD_MS 60u
#define RETRY_AFTER_MIN_MS 500u
#define RETRY_AFTER_SPREAD_MS 2500u
/* Kept short, since other daemons may free capacity that the last load reports
 * do not show yet. */
#define REJECTION_HOLD_MAX_MS 100u
#define FAR_OVER_SHARE_HOLD_MS 60u
/* Used where no backlog tells how soon a retry can succeed. */
#define DEFAULT_RETRY_AFTER_MS 1000u

/* Callers wait for at most this part of their remaining time. */
#define REMAINING_DIVISOR 3u

uint32_t
dispatch_cap_retry_after_ms(const struct dispatch_request *request,
    uint64_t wait_ms)
{
	return (
	    uint32_t)MIN(wait_ms, request->remaining_ms / REMAINING_DIVISOR);
}

/* Spread, so that callers do not come back in the same moment. */
static uint64_t
retry_soon_ms(const struct dispatch_request *request)
{
	return RETRY_SOON_MS + request->request_hash % RETRY_SOON_SPREAD_MS;
}

uint32_t
dispatch_retry_after_ms(const struct dispatch_request *request,
    uint64_t over_ms, bool far_over_share)
{
	uint64_t wait_ms = RETRY_AFTER_MIN_MS +
	    request->request_hash % RETRY_AFTER_SPREAD_MS;

	if (!far_over_share)
		wait_ms = MIN(wait_ms, over_ms + retry_soon_ms(request));
	return dispatch_cap_retry_after_ms(request, wait_ms);
}

/* The time to wait is not shortened to the caller's remaining time where the request
 * would be refused again until then. */
void
dispatch_fill_refusal(enum refuse_reason reason, uint64_t retry_after_ms,
    struct dispatch_decision *decision)
{
	decision->start = false;
	decision->reason = reason;
	decision->retry_after_ms = (uint32_t)MIN(retry_after_ms, UINT32_MAX);
}

uint32_t
dispatch_default_retry_after_ms(const struct dispatch_request *request)
{
	return dispatch_cap_retry_after_ms(request, DEFAULT_RETRY_AFTER_MS);
}

/* Part of the admission limit for an account that uses so much of its fair
 * share. */
static uint64_t
admission_limit_percent(uint64_t share_permille)
{
	if (share_permille <= SHARE_FULL_LIMIT_PERMILLE)
		return 100;
	if (share_permille <= SHARE_FAIR_PERMILLE)
		return 100 -
		    (100 - LIMIT_AT_FAIR_SHARE_PERCENT) *
		    (share_permille - SHARE_FULL_LIMIT_PERMILLE) /
		    (SHARE_FAIR_PERMILLE - SHARE_FULL_LIMIT_PERMILLE);
	if (share_permille >= SHARE_ZERO_LIMIT_PERMILLE)
		return 0;
	return LIMIT_AT_FAIR_SHARE_PERCENT *
	    (SHARE_ZERO_LIMIT_PERMILLE - share_permille) /
	    (SHARE_ZERO_LIMIT_PERMILLE - SHARE_FAIR_PERMILLE);
}

static uint32_t
rejection_hold_ms(uint64_t pool_min_backlog_ms, uint64_t admission_limit_ms)
{
	if (admission_limit_ms == 0)
		return FAR_OVER_SHARE_HOLD_MS;
	return pool_min_backlog_ms > admission_limit_ms
	    ? (uint32_t)MIN(pool_min_backlog_ms - admission_limit_ms,
		  REJECTION_HOLD_MAX_MS)
	    : 0;
}

uint64_t
dispatch_whole_limit_ms(const struct dispatch_request *request)
{
	return ADMISSION_LIMIT_BASE_MS +
	    (uint64_t)request->latency_target_ms *
	    ADMISSION_LIMIT_TARGET_PERCENT / 100;
}

/* An idle engine takes any request, except one whose account has a limit of zero:
 * other accounts wait for that engine time. */
bool
dispatch_exceeds_limit(const struct dispatch_candidate *candidate,
    uint64_t admission_limit_ms)
{
	if (admission_limit_ms == 0)
		return true;
	return candidate->backlog_ms > 0 &&
	    candidate->backlog_ms +
		MIN(candidate->prefill_ms, COUNTED_PREFILL_MAX_MS) >
	    admission_limit_ms;
}

static uint64_t
account_share_permille(const struct dispatch *dispatch, uint64_t account_id)
{
	const struct dispatch_account *account =
	    g_hash_table_lookup(dispatch->accounts, &account_id);

	return account == NULL ? 0 : dispatch_share_permille(dispatch, account);
}

static void
fill_forecast(const struct dispatch *dispatch,
    const struct dispatch_request *request,
    const struct dispatch_candidate *best, struct dispatch_forecast *forecast)
{
	uint64_t share_permille = account_share_permille(dispatch,
	    request->account_id);

	forecast->share_permille = (uint32_t)MIN(share_permille, UINT32_MAX);
	share_permille = share_permille *
	    MIN(best->pool_mean_backlog_ms, SHARES_FULL_EFFECT_BACKLOG_MS) /
	    SHARES_FULL_EFFECT_BACKLOG_MS;
	forecast->over_share = share_permille > SHARE_FAIR_PERMILLE;
	forecast->backlog_ms = (uint32_t)best->backlog_ms;
	forecast->prefill_ms = (uint32_t)best->prefill_ms;
	forecast->first_token_ms = (uint32_t)(best->backlog_ms +
				       best->prefill_ms) +
	    best->endpoint->engine.first_token_ms;
	forecast->admission_limit_ms = (uint32_t)(dispatch_whole_limit_ms(
						      request) *
	    admission_limit_percent(share_permille) / 100);
}

/* Admits a request to an engine, or tells when a retry can succeed. */
static void
judge_wait(const struct dispatch_request *request,
    const struct dispatch_candidate *best, struct dispatch_decision *decision)
{
	uint64_t limit_ms = decision->forecast.admission_limit_ms;

	if (!dispatch_exceeds_limit(best, limit_ms))
		return;
	dispatch_fill_refusal(dispatch_exceeds_limit(best,
				  dispatch_whole_limit_ms(request))
		? REFUSE_QUEUE_FULL
		: REFUSE_ACCOUNT_SHARE,
	    dispatch_retry_after_ms(request,
		best->backlog_ms - MIN(best->backlog_ms, limit_ms),
		limit_ms == 0),
	    decision);
	decision->rejection_hold_ms =
	    rejection_hold_ms(best->pool_min_backlog_ms, limit_ms);
}

/* @return time until the first candidate takes a request, 0 if there are none */
static uint64_t
min_closed_ms(const GArray *candidates)
{
	uint64_t min_ms = UINT64_MAX;

	for (guint i = 0; i < candidates->len; i++)
		min_ms = MIN(min_ms,
		    g_array_index(candidates, struct dispatch_candidate, i)
			.closed_ms);
	return min_ms == UINT64_MAX ? 0 : min_ms;
}

static void
refuse_without_endpoint(const struct dispatch_request *request,
    const GArray *candidates, struct dispatch_decision *decision)
{
	uint64_t closed_ms = min_closed_ms(candidates);

	if (closed_ms > 0)
		dispatch_fill_refusal(REFUSE_ENDPOINT_LIMIT,
		    closed_ms + retry_soon_ms(request), decision);
	else
		dispatch_fill_refusal(REFUSE_NO_ENDPOINT,
		    dispatch_default_retry_after_ms(request), decision);
}

/* Decides whether a request starts at the best candidate. */
static void
judge(const struct dispatch *dispatch, const struct dispatch_request *request,
    const struct dispatch_evaluation *evaluation,
    struct dispatch_decision *decision)
{
	const struct dispatch_candidate *best = evaluation->best;

	if (best == NULL) {
		refuse_without_endpoint(request, evaluation->candidates,
		    decision);
		return;
	}
	decision->start = true;
	decision->crossing = best->crossing;
	decision->forecast.running_count = (uint32_t)dispatch_running_requests(
	    best->endpoint);
	if (!evaluation->engine)
		return;
	fill_forecast(dispatch, request, best, &decision->forecast);
	judge_wait(request, best, decision);
}

const struct config_pool *
dispatch_find_config_pool(const struct dispatch *dispatch, uint64_t pool_id)
{
	return dispatch->configuration == NULL
	    ? NULL
	    : config_snapshot_find_pool(dispatch->configuration, pool_id);
}

void
dispatch_decide(struct dispatch *dispatch,
    const struct dispatch_request *request, bool own_endpoints, uint64_t now_ms,
    struct dispatch_evaluation *evaluation, struct dispatch_decision *decision)
{
	const struct config_pool *pool = dispatch_find_config_pool(dispatch,
	    request->pool_id);
	struct suspect_verdict verdict;

	memset(decision, 0, sizeof(*decision));
	memset(evaluation, 0, sizeof(*evaluation));
	evaluation->candidates = g_array_new(FALSE, FALSE,
	    sizeof(struct dispatch_candidate));
	evaluation->engine = pool != NULL && pool->engine;
	dispatch_sum_remote_shares(dispatch);
	decision->forecast.peers_age_ms = dispatch_peers_age_ms(dispatch,
	    now_ms);
	dispatch_check_suspects(dispatch, request, now_ms, &verdict);
	if (verdict.refuse) {
		dispatch_fill_refusal(REFUSE_CRASH_SUSPECT,
		    verdict.retry_after_ms, decision);
		return;
	}
	evaluation->trial_segment_id = verdict.trial_segment_id;
	if (pool != NULL)
		evaluation->best = dispatch_evaluate(dispatch, pool, request,
		    own_endpoints, now_ms, evaluation->candidates);
	judge(dispatch, request, evaluation, decision);
}

void
dispatch_evaluation_finish(struct dispatch_evaluation *evaluation)
{
	g_array_free(evaluation->candidates, TRUE);
}
