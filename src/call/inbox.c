/*
 * Inboxes and the registry of open requests. The link thread finds a request by
 * its id and posts an event to the inbox of the thread that waits for it.
 */
#include <stdlib.h>
#include <string.h>

#include "../entry/entry.h"

static struct registry_shard *shard_for_id(
    struct registry *registry, uint64_t id);
static struct request *shard_find(struct registry_shard *shard, uint64_t id);
static void inbox_post(struct inbox *inbox, enum event_kind kind,
    const struct request *request, Kwb__Wire__Frame *frame);

void
inbox_init(struct inbox *inbox)
{
	pthread_mutex_init(&inbox->lock, NULL);
	kwb_cond_init(&inbox->changed);
	STAILQ_INIT(&inbox->events);
}

/* All requests of the inbox must have been closed. */
void
inbox_finish(struct inbox *inbox)
{
	struct event *event;

	while ((event = STAILQ_FIRST(&inbox->events)) != NULL) {
		STAILQ_REMOVE_HEAD(&inbox->events, next);
		inbox_event_free(event);
	}
	pthread_cond_destroy(&inbox->changed);
	pthread_mutex_destroy(&inbox->lock);
}

/* Waits for the next event; NULL at the deadline. The caller frees it. */
struct event *
inbox_wait(struct inbox *inbox, uint64_t deadline_ns)
{
	struct event *event;

	pthread_mutex_lock(&inbox->lock);
	while ((event = STAILQ_FIRST(&inbox->events)) == NULL &&
	    kwb_clock_now_ns() < deadline_ns)
		kwb_cond_wait_until(&inbox->changed, &inbox->lock, deadline_ns);
	if (event != NULL)
		STAILQ_REMOVE_HEAD(&inbox->events, next);
	pthread_mutex_unlock(&inbox->lock);
	return event;
}

void
inbox_event_free(struct event *event)
{
	kwb_frame_free(event->frame);
	free(event);
}

void
registry_init(struct registry *registry)
{
	unsigned i;

	atomic_store(&registry->next_id, 1);
	for (i = 0; i < KWB_SHARDS; i++) {
		pthread_mutex_init(&registry->shards[i].lock, NULL);
		TAILQ_INIT(&registry->shards[i].requests);
	}
}

void
registry_finish(struct registry *registry)
{
	unsigned i;

	for (i = 0; i < KWB_SHARDS; i++)
		pthread_mutex_destroy(&registry->shards[i].lock);
}

/*
 * Opens a request on a link and returns its id; 0 if out of memory. Its events
 * go to the inbox and name the owner, which may be NULL.
 */
uint64_t
registry_open_request(
    struct registry *registry, struct inbox *inbox, uint64_t link, void *owner)
{
	struct request *request = calloc(1, sizeof(*request));
	struct registry_shard *shard;

	if (request == NULL)
		return 0;
	request->id = atomic_fetch_add(&registry->next_id, 1);
	request->link = link;
	request->owner = owner;
	request->inbox = inbox;
	shard = shard_for_id(registry, request->id);
	pthread_mutex_lock(&shard->lock);
	TAILQ_INSERT_HEAD(&shard->requests, request, next);
	pthread_mutex_unlock(&shard->lock);
	return request->id;
}

void
registry_close_request(struct registry *registry, uint64_t id)
{
	struct registry_shard *shard = shard_for_id(registry, id);
	struct request *request;

	pthread_mutex_lock(&shard->lock);
	request = shard_find(shard, id);
	if (request != NULL)
		TAILQ_REMOVE(&shard->requests, request, next);
	pthread_mutex_unlock(&shard->lock);
	free(request);
}

/* Delivers a frame to its request, or frees it if that is not open. */
void
registry_deliver(
    struct registry *registry, uint64_t id, Kwb__Wire__Frame *frame)
{
	struct registry_shard *shard = shard_for_id(registry, id);
	struct request *request;

	pthread_mutex_lock(&shard->lock);
	request = shard_find(shard, id);
	if (request != NULL)
		inbox_post(request->inbox, EVENT_FRAME, request, frame);
	pthread_mutex_unlock(&shard->lock);
	if (request == NULL)
		kwb_frame_free(frame);
}

/* Posts the loss of a link to every request on it. */
void
registry_link_lost(struct registry *registry, uint64_t link)
{
	struct request *request;
	unsigned i;

	for (i = 0; i < KWB_SHARDS; i++) {
		struct registry_shard *shard = &registry->shards[i];

		pthread_mutex_lock(&shard->lock);
		TAILQ_FOREACH (request, &shard->requests, next)
			if (request->link == link)
				inbox_post(request->inbox, EVENT_LINK_LOST,
				    request, NULL);
		pthread_mutex_unlock(&shard->lock);
	}
}

static struct registry_shard *
shard_for_id(struct registry *registry, uint64_t id)
{
	return &registry->shards[id % KWB_SHARDS];
}

static struct request *
shard_find(struct registry_shard *shard, uint64_t id)
{
	struct request *request;

	TAILQ_FOREACH (request, &shard->requests, next)
		if (request->id == id)
			return request;
	return NULL;
}

static void
inbox_post(struct inbox *inbox, enum event_kind kind,
    const struct request *request, Kwb__Wire__Frame *frame)
{
	struct event *event = calloc(1, sizeof(*event));

	if (event == NULL) {
		kwb_frame_free(frame);
		return;
	}
	event->kind = kind;
	event->request_id = request->id;
	event->owner = request->owner;
	event->frame = frame;
	pthread_mutex_lock(&inbox->lock);
	STAILQ_INSERT_TAIL(&inbox->events, event, next);
	pthread_cond_signal(&inbox->changed);
	pthread_mutex_unlock(&inbox->lock);
}
