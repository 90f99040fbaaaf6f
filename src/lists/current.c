/*
 * The newest lists this process knows. Readers hold them under RCU; an offer
 * with a higher revision replaces them, a lower one changes nothing, so the
 * revision never falls.
 */
#include <stdlib.h>
#include <string.h>

#include <urcu/urcu-memb.h>

#include "kwb.h"

struct current {
	struct kwb_lists *lists;
	char *text;
	size_t length_bytes;
};

static struct current *current;
static pthread_mutex_t update_lock = PTHREAD_MUTEX_INITIALIZER;

static void current_free(struct current *old);

int
kwb_current_lists_init(void)
{
	urcu_memb_init();
	return 0;
}

void
kwb_current_lists_finish(void)
{
	struct current *old = current;

	rcu_set_pointer(&current, NULL);
	urcu_memb_synchronize_rcu();
	current_free(old);
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
	struct current *fresh, *old = NULL;
	int taken = 0;

	fresh = calloc(1, sizeof(*fresh));
	if (fresh == NULL)
		return KWB_ERR_MEMORY;
	fresh->text = strndup(text, length_bytes);
	fresh->length_bytes = length_bytes;
	source.text = fresh->text;
	pthread_mutex_lock(&update_lock);
	if (current != NULL && current->lists->revision >= revision) {
		old = fresh;
	} else if (fresh->text == NULL ||
	    kwb_lists_parse(&fresh->lists, &source, &faults) != 0 ||
	    kwb_lists_check(fresh->lists, NULL, 0, &faults) != 0) {
		old = fresh;
		taken = KWB_ERR_LISTS_INVALID;
	} else {
		fresh->lists->revision = revision;
		old = rcu_xchg_pointer(&current, fresh);
		kwb_metric_set(KWB_METRIC_LISTS_REVISION, revision);
		taken = 1;
	}
	pthread_mutex_unlock(&update_lock);
	if (old != NULL)
		urcu_memb_synchronize_rcu();
	current_free(old);
	if (taken < 0)
		kwb_log(KWB_LOG_ERROR, "lists",
		    "event=rejected revision=%llu fault=\"%s\"",
		    (unsigned long long)revision, faults.text[0]);
	if (taken > 0)
		kwb_log(KWB_LOG_INFO, "lists", "event=in_force revision=%llu",
		    (unsigned long long)revision);
	return taken;
}

uint64_t
kwb_current_lists_revision(void)
{
	return kwb_metric_get(KWB_METRIC_LISTS_REVISION);
}

const struct kwb_lists *
kwb_current_lists_read_lock(void)
{
	struct current *held;

	urcu_memb_read_lock();
	held = rcu_dereference(current);
	return held ? held->lists : NULL;
}

void
kwb_current_lists_read_unlock(void)
{
	urcu_memb_read_unlock();
}

int
kwb_current_lists_text(struct kwb_buf *out, uint64_t *revision)
{
	struct current *held;
	int error = KWB_ERR_LISTS_NONE;

	urcu_memb_read_lock();
	held = rcu_dereference(current);
	if (held != NULL) {
		*revision = held->lists->revision;
		error = kwb_buf_add(out, held->text, held->length_bytes);
	}
	urcu_memb_read_unlock();
	return error;
}

static void
current_free(struct current *old)
{
	if (old == NULL)
		return;
	kwb_lists_free(old->lists);
	free(old->text);
	free(old);
}
