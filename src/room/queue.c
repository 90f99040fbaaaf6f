/*
 * The requests of a node that wait for a place. They are tried in order, when
 * one of its requests ends and at short intervals, as other nodes free places
 * too.
 */
#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#include "kwb_node.h"
#include "kwb_room.h"

static void
waiter_log(const struct kwb_room_waiter *waiter, const char *event,
    const char *reason, uint64_t expected_ns, uint64_t now_ns)
{
	kwb_log(KWB_LOG_INFO, "room",
	    "event=%s id=%s service=%s workspace=%s rank=%u reason=%s "
	    "waited_ms=%llu expected_ms=%llu left_ms=%llu",
	    event, waiter->id, waiter->service,
	    waiter->workspace[0] != '\0' ? waiter->workspace : "-",
	    waiter->rank, reason,
	    (unsigned long long)((now_ns - waiter->since_ns) / KWB_MS_NS),
	    (unsigned long long)(expected_ns / KWB_MS_NS),
	    (unsigned long long)kwb_clock_remaining_ms(waiter->deadline_ns));
}

static struct kwb_room_claim
claim_of(const struct kwb_room *room, const struct kwb_room_waiter *waiter,
    uint64_t now_ns)
{
	return (struct kwb_room_claim){.rank = waiter->rank,
	    .share_milli =
		kwb_room_shares_get(&room->shares, waiter->share, now_ns),
	    .since_ns = waiter->since_ns,
	    .deadline_ns = waiter->deadline_ns};
}

/* Waiters of the same service that go before this one. */
static uint32_t
count_ahead(const struct kwb_room *room, const struct kwb_room_waiter *waiter,
    uint64_t now_ns)
{
	struct kwb_room_claim own = claim_of(room, waiter, now_ns);
	const struct kwb_room_waiter *other;
	uint32_t ahead = 0;

	TAILQ_FOREACH (other, &room->waiters, entry) {
		struct kwb_room_claim claim = claim_of(room, other, now_ns);

		if (other != waiter &&
		    strcmp(other->service, waiter->service) == 0 &&
		    kwb_room_compare(&claim, &own, now_ns) <= 0)
			ahead++;
	}
	return ahead;
}

/* Streams have no limit, as an answer takes as long as its text is. */
static struct kwb_room_service *
service_of(struct kwb_room *room, const struct kwb_room_waiter *waiter)
{
	struct kwb_room_service *service;
	uint32_t i;

	if (waiter->is_stream)
		return NULL;
	for (i = 0; i < room->services_count; i++)
		if (strcmp(room->services[i].name, waiter->service) == 0)
			return &room->services[i];
	if (room->services_count == KWB_ROOM_SERVICES_MAX)
		return NULL;
	service = &room->services[room->services_count];
	if (kwb_text_replace(&service->name, waiter->service) != 0)
		return NULL;
	room->services_count++;
	kwb_room_limit_init(&service->limit);
	return service;
}

/* Refuses a request that can't be served in time; false when it can. */
static bool
refuse_hopeless(struct kwb_room *room, struct kwb_room_waiter *waiter,
    const struct kwb_room_places *places, uint32_t ahead, uint64_t now_ns)
{
	const struct kwb_room_service *service = service_of(room, waiter);
	struct kwb_room_admission input = {.room = *places,
	    .limit = service != NULL ? &service->limit : NULL,
	    .ahead = ahead,
	    .now_ns = now_ns,
	    .deadline_ns = waiter->deadline_ns};
	uint64_t expected_ns;

	if (waiter->may_have_run)
		return false;
	if (waiter->is_stream)
		input.room.pace_ns = 0;
	if (kwb_room_admit(&input) != KWB_ROOM_REFUSE)
		return false;
	expected_ns = kwb_room_expected_wait_ns(&input);
	waiter_log(waiter, "refused", "no_place_in_time", expected_ns, now_ns);
	kwb_metric_add(KWB_METRIC_ROOM_REFUSED, 1);
	kwb_room_leave(room, waiter);
	waiter->ops->refuse(waiter, expected_ns);
	return true;
}

/* Starts the request; false when no upstream takes it now. */
static bool
start_waiter(
    struct kwb_room *room, struct kwb_room_waiter *waiter, uint64_t now_ns)
{
	uint32_t rank = waiter->rank < KWB_ROOM_RANKS_MAX
	    ? waiter->rank
	    : KWB_ROOM_RANKS_MAX - 1;
	struct kwb_room_service *service = service_of(room, waiter);
	uint64_t wait_ns = now_ns - waiter->since_ns;
	bool was_waiting = waiter->is_waiting;
	uint32_t share = waiter->share;

	if (service != NULL && !kwb_room_limit_has_room(&service->limit))
		return false;
	kwb_room_leave(room, waiter);
	waiter->place = service;
	waiter->started_ns = now_ns;
	if (service != NULL)
		service->limit.in_flight++;
	/* A waiter that has started may be gone after the call. */
	if (!waiter->ops->start(waiter)) {
		waiter->place = NULL;
		if (service != NULL)
			service->limit.in_flight--;
		if (was_waiting) {
			TAILQ_INSERT_TAIL(&room->waiters, waiter, entry);
			waiter->is_waiting = true;
			room->waiting_count++;
		}
		return false;
	}
	kwb_room_shares_add(&room->shares, share, now_ns);
	room->ranks[rank].started++;
	room->ranks[rank].wait_ns += wait_ns;
	kwb_histogram_observe(KWB_HISTOGRAM_ROOM, wait_ns);
	return true;
}

/* The waiter that goes first of those that this pass has not tried. */
static struct kwb_room_waiter *
next_waiter(const struct kwb_room *room, uint64_t now_ns)
{
	struct kwb_room_waiter *best = NULL;
	struct kwb_room_claim best_claim;
	struct kwb_room_waiter *waiter;

	TAILQ_FOREACH (waiter, &room->waiters, entry) {
		struct kwb_room_claim claim = claim_of(room, waiter, now_ns);

		if (waiter->pass == room->pass ||
		    (best != NULL &&
			kwb_room_compare(&best_claim, &claim, now_ns) <= 0))
			continue;
		best = waiter;
		best_claim = claim;
	}
	return best;
}

/*
 * No waiter of that service can start in this pass, but for streams behind a
 * plain request, as only plain ones have a limit. Those that can't be served
 * even if they were the next are refused.
 */
static void
pass_over(struct kwb_room *room, const char *service_name, bool was_stream,
    uint64_t now_ns)
{
	/* The waiter that the name is of may be refused below. */
	char *service = strdup(service_name);
	struct kwb_room_places places;
	struct kwb_room_waiter *waiter;
	struct kwb_room_waiter *next;

	if (service == NULL)
		return;
	kwb_room_measure(room->registry, service, now_ns, &places);
	for (waiter = TAILQ_FIRST(&room->waiters); waiter != NULL;
	     waiter = next) {
		next = TAILQ_NEXT(waiter, entry);
		if (strcmp(waiter->service, service) != 0 ||
		    (waiter->is_stream && !was_stream))
			continue;
		waiter->pass = room->pass;
		refuse_hopeless(room, waiter, &places, 0, now_ns);
	}
	free(service);
}

static void
room_drain(struct kwb_room *room)
{
	uint64_t now_ns = kwb_clock_now_ns();
	struct kwb_room_waiter *waiter;

	if (room->is_draining)
		return;
	room->is_draining = true;
	room->pass++;
	while ((waiter = next_waiter(room, now_ns)) != NULL) {
		waiter->pass = room->pass;
		if (!start_waiter(room, waiter, now_ns))
			pass_over(
			    room, waiter->service, waiter->is_stream, now_ns);
	}
	room->is_draining = false;
	if (!TAILQ_EMPTY(&room->waiters))
		kwb_timer_arm(room->timer, now_ns + KWB_ROOM_PASS_NS);
}

static void
room_on_timer(int fd, short what, void *context)
{
	(void)fd;
	(void)what;
	room_drain(context);
}

int
kwb_room_init(struct kwb_room *room, struct event_base *base,
    const struct kwb_registry *registry)
{
	memset(room, 0, sizeof(*room));
	room->registry = registry;
	TAILQ_INIT(&room->waiters);
	room->timer = kwb_timer_new(base, room_on_timer, room);
	return room->timer != NULL ? 0 : KWB_ERR_MEMORY;
}

void
kwb_room_finish(struct kwb_room *room)
{
	uint32_t i;

	event_free(room->timer);
	for (i = 0; i < room->services_count; i++)
		free(room->services[i].name);
	kwb_room_shares_finish(&room->shares);
}

void
kwb_room_enter(struct kwb_room *room, struct kwb_room_waiter *waiter)
{
	uint64_t now_ns = kwb_clock_now_ns();
	struct kwb_room_places places;
	uint32_t ahead;

	waiter->since_ns = now_ns;
	waiter->share =
	    kwb_room_shares_index(&room->shares, waiter->workspace, now_ns);
	ahead = count_ahead(room, waiter, now_ns);
	kwb_room_measure(room->registry, waiter->service, now_ns, &places);
	if (refuse_hopeless(room, waiter, &places, ahead, now_ns))
		return;
	if (ahead == 0 && start_waiter(room, waiter, now_ns))
		return;
	if (room->waiting_count >= KWB_ROOM_WAITERS_MAX &&
	    !waiter->may_have_run) {
		waiter_log(waiter, "refused", "queue_full", 0, now_ns);
		kwb_metric_add(KWB_METRIC_ROOM_REFUSED, 1);
		waiter->ops->refuse(waiter, 0);
		return;
	}
	TAILQ_INSERT_TAIL(&room->waiters, waiter, entry);
	waiter->is_waiting = true;
	room->waiting_count++;
	kwb_metric_add(KWB_METRIC_ROOM_QUEUED, 1);
	waiter_log(waiter, "queued", "no_place", 0, now_ns);
	if (!event_pending(room->timer, EV_TIMEOUT, NULL))
		kwb_timer_arm(room->timer, now_ns + KWB_ROOM_PASS_NS);
}

void
kwb_room_leave(struct kwb_room *room, struct kwb_room_waiter *waiter)
{
	if (!waiter->is_waiting)
		return;
	TAILQ_REMOVE(&room->waiters, waiter, entry);
	waiter->is_waiting = false;
	room->waiting_count--;
}

void
kwb_room_end(struct kwb_room *room, struct kwb_room_waiter *waiter,
    const struct kwb_room_outcome *outcome)
{
	struct kwb_room_service *service = waiter->place;

	if (service == NULL)
		return;
	waiter->place = NULL;
	if (outcome != NULL)
		kwb_room_limit_update(
		    &service->limit, outcome, kwb_clock_now_ns());
	service->limit.in_flight--;
	kwb_room_wake(room);
}

void
kwb_room_wake(struct kwb_room *room)
{
	if (!TAILQ_EMPTY(&room->waiters))
		kwb_timer_arm(room->timer, 0);
}
