/*
 * Retry budget of a plan: retries are limited to a small part of first tries,
 * so that they cannot amplify an overload.
 */
#include "kwb.h"

/* Then both counts are halved, so that older tries count less. */
#define BUDGET_WINDOW_TRIES 10000

void
kwb_retry_budget_init(struct kwb_retry_budget *budget)
{
	pthread_mutex_init(&budget->lock, NULL);
	budget->first_tries = 0;
	budget->retries = 0;
}

void
kwb_retry_budget_finish(struct kwb_retry_budget *budget)
{
	pthread_mutex_destroy(&budget->lock);
}

void
kwb_retry_budget_add_try(struct kwb_retry_budget *budget)
{
	pthread_mutex_lock(&budget->lock);
	if (++budget->first_tries >= BUDGET_WINDOW_TRIES) {
		budget->first_tries /= 2;
		budget->retries /= 2;
	}
	pthread_mutex_unlock(&budget->lock);
}

bool
kwb_retry_budget_take(struct kwb_retry_budget *budget)
{
	bool allowed;

	pthread_mutex_lock(&budget->lock);
	allowed = budget->retries * 100 <
	    budget->first_tries * KWB_RETRY_PERCENT + KWB_RETRY_BURST * 100;
	if (allowed)
		budget->retries++;
	pthread_mutex_unlock(&budget->lock);
	if (allowed)
		kwb_metric_add(KWB_METRIC_RETRIES, 1);
	return allowed;
}
