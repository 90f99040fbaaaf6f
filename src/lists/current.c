/*
 * The newest lists that this process knows, in one snapshot that readers use
 * under RCU. Only a document with a higher revision replaces it, so that the
 * revision never decreases, whatever the order in which documents arrive.
 */
#include <stdlib.h>
#include <string.h>

#include <urcu/urcu-memb.h>

#include "kwb.h"

/* One revision of the lists, parsed and as received. */
struct snapshot {
	struct kwb_lists *lists;
	char *text;
	size_t length_bytes;
};

static struct snapshot *current;
static pthread_mutex_t update_lock = PTHREAD_MUTEX_INITIALIZER;

static void snapshot_free(struct snapshot *discarded);

int
kwb_current_lists_init(void)
{
	urcu_memb_init();
	return 0;
}

void
kwb_current_lists_finish(void)
{
	struct snapshot *discarded = current;

	rcu_set_pointer(&current, NULL);
	urcu_memb_synchronize_rcu();
	snapshot_free(discarded);
}

void
kwb_current_lists_register_thread(void)
{
	urcu_memb_register_thread();
}

void
kwb_current_lists_unregister_thread(void)
{
	urcu_memb_unregister_thread();
}

int
kwb_current_lists_update(
    const char *text, size_t length_bytes, uint64_t revision)
{
	struct kwb_faults faults = {0};
	struct kwb_lists_source source = {"platform", NULL};
	struct snapshot *candidate, *discarded = NULL;
	int result = 0;

	candidate = calloc(1, sizeof(*candidate));
	if (candidate == NULL)
		return KWB_ERR_MEMORY;
	candidate->text = strndup(text, length_bytes);
	candidate->length_bytes = length_bytes;
	source.text = candidate->text;
	pthread_mutex_lock(&update_lock);
	if (current != NULL && current->lists->revision >= revision) {
		discarded = candidate;
	} else if (candidate->text == NULL ||
	    kwb_lists_parse(&candidate->lists, &source, &faults) != 0 ||
	    kwb_lists_check(candidate->lists, NULL, 0, &faults) != 0) {
		discarded = candidate;
		result = KWB_ERR_LISTS_INVALID;
	} else {
		candidate->lists->revision = revision;
		discarded = rcu_xchg_pointer(&current, candidate);
		kwb_metric_set(KWB_METRIC_LISTS_REVISION, revision);
		result = 1;
	}
	pthread_mutex_unlock(&update_lock);
	if (discarded != NULL)
		urcu_memb_synchronize_rcu();
	snapshot_free(discarded);
	if (result < 0)
		kwb_log(KWB_LOG_ERROR, "lists",
		    "event=rejected revision=%llu fault=\"%s\"",
		    (unsigned long long)revision, faults.text[0]);
	if (result > 0)
		kwb_log(KWB_LOG_INFO, "lists", "event=in_force revision=%llu",
		    (unsigned long long)revision);
	return result;
}

uint64_t
kwb_current_lists_revision(void)
{
	return kwb_metric_get(KWB_METRIC_LISTS_REVISION);
}

const struct kwb_lists *
kwb_current_lists_read_lock(void)
{
	struct snapshot *snapshot;

	urcu_memb_read_lock();
	snapshot = rcu_dereference(current);
	return snapshot ? snapshot->lists : NULL;
}

void
kwb_current_lists_read_unlock(void)
{
	urcu_memb_read_unlock();
}

int
kwb_current_lists_text(struct kwb_buf *out, uint64_t *revision)
{
	struct snapshot *snapshot;
	int error = KWB_ERR_LISTS_NONE;

	urcu_memb_read_lock();
	snapshot = rcu_dereference(current);
	if (snapshot != NULL) {
		*revision = snapshot->lists->revision;
		error =
		    kwb_buf_add(out, snapshot->text, snapshot->length_bytes);
	}
	urcu_memb_read_unlock();
	return error;
}

static void
snapshot_free(struct snapshot *discarded)
{
	if (discarded == NULL)
		return;
	kwb_lists_free(discarded->lists);
	free(discarded->text);
	free(discarded);
}
