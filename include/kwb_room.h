/*
 * Room: which requests get a place at the upstreams of a service when they ask
 * for more than there is. Decisions are pure functions of plain structs; the
 * queue keeps the requests of one node that wait for a place.
 *
 * The state is a hint of this node alone. It is lost by a restart.
 */
#ifndef KWB_ROOM_H
#define KWB_ROOM_H

#include <sys/queue.h>

#include "kwb.h"

struct event;
struct event_base;
struct kwb_node_config;
struct kwb_registry;
struct kwb_route_entry;

/* ---- Decisions ----------------------------------------------------------- */

/* What is known of the places of a service. */
struct kwb_room_places {
	uint32_t places;      /* requests that its upstreams run at a time */
	uint32_t free_places; /* of these */
	/* At the upstream with the least work for its size: */
	uint32_t least_backlog; /* requests that wait there */
	uint32_t least_slots;	/* requests that it runs at a time */
	uint64_t pace_ns;	/* time of a request; 0 unknown */
};

/* Measures the upstreams of a service by this node's view. */
void kwb_room_measure(const struct kwb_registry *registry, const char *service,
    uint64_t now_ns, struct kwb_room_places *places);

/*
 * How many requests this node has at a service, and may have. Load reports of
 * single upstreams are soon old, as each node sees few of their answers; how
 * long the answers of the whole service take is known better.
 */
struct kwb_room_limit {
	uint32_t in_flight;
	uint32_t limit_milli; /* thousandths of a request */
	uint64_t taken_ns;    /* by recent answers, smoothed; 0 unknown */
	uint32_t late_milli;  /* part of recent answers that were late */
	uint64_t lowered_ns;  /* when the limit was last lowered */
	uint64_t crowded_ns;  /* last time that an upstream said others wait */
};

/* How a request that has started ended. */
struct kwb_room_outcome {
	uint64_t taken_ns;
	uint64_t had_ns;   /* from its start to its deadline */
	bool is_refused;   /* the upstream was full */
	bool has_others;   /* it said that others wait there */
	bool is_timed_out; /* no answer before the deadline */
};

void kwb_room_limit_init(struct kwb_room_limit *limit);
/* Adapts the limit to an outcome; in_flight still counts that request. */
void kwb_room_limit_update(struct kwb_room_limit *limit,
    const struct kwb_room_outcome *outcome, uint64_t now_ns);
/* Whether one more request may start. */
bool kwb_room_limit_has_room(const struct kwb_room_limit *limit);

enum kwb_room_verdict {
	KWB_ROOM_START, /* there is a place, or nothing is known */
	KWB_ROOM_WAIT,	/* a place comes in time */
	KWB_ROOM_REFUSE /* it can't be served before its deadline */
};

/* Input of kwb_room_admit(). */
struct kwb_room_admission {
	struct kwb_room_places room;
	const struct kwb_room_limit *limit; /* NULL for none */
	uint32_t ahead; /* requests that wait in this node and go first */
	uint64_t now_ns;
	uint64_t deadline_ns;
};

/* Time until a place is expected; 0 when there is one or nothing is known. */
uint64_t kwb_room_expected_wait_ns(const struct kwb_room_admission *input);
/* Whether a request can still be served in time. */
enum kwb_room_verdict kwb_room_admit(const struct kwb_room_admission *input);

/* What a request that waits for room goes by. */
struct kwb_room_claim {
	uint32_t rank;	      /* of its workspace and route; 0 goes first */
	uint32_t share_milli; /* places its workspace had lately, in 1/1000 */
	uint64_t since_ns;    /* when it began to wait */
	uint64_t deadline_ns;
};

/* Whether it has waited so long that it goes before what is more urgent. */
bool kwb_room_is_overdue(const struct kwb_room_claim *claim, uint64_t now_ns);
/* Below 0 when a goes first. */
int kwb_room_compare(const struct kwb_room_claim *a,
    const struct kwb_room_claim *b, uint64_t now_ns);
/* Rank of a request; workspace: the name of the one that asks, "" for none. */
uint32_t kwb_room_rank(const struct kwb_node_config *config,
    const char *workspace, const struct kwb_route_entry *route);
/* Priority of a caller's request in an upstream's queue, by its rank. */
int32_t kwb_room_priority(uint32_t rank);
/*
 * When a refused request should come back: once a place is expected, and not
 * all at the same time. left_ns: until its deadline.
 */
uint64_t kwb_room_return_ns(
    uint64_t expected_ns, uint64_t left_ns, uint64_t random);

/*
 * When a request should come back that was refused because this node has no
 * config yet. silence_ns: how long the store has not answered; left_ns: until
 * the request's deadline.
 */
uint64_t kwb_room_return_unready_ns(uint64_t silence_ns, uint64_t left_ns);

/* ---- Shares of workspaces ------------------------------------------------ */

struct kwb_room_share {
	char *workspace;
	uint32_t recent_milli; /* requests started lately, in thousandths */
	uint64_t halved_ns;    /* when recent_milli was last halved */
	uint64_t started;      /* requests started in all */
};

/* The first entry counts the workspaces that have none of their own. */
struct kwb_room_shares {
	struct kwb_room_share entries[KWB_ROOM_SHARES_MAX];
	uint32_t count;
};

void kwb_room_shares_finish(struct kwb_room_shares *shares); /* empties it */
/* Index of a workspace's entry, which it gets while there are any left. */
uint32_t kwb_room_shares_index(
    struct kwb_room_shares *shares, const char *workspace, uint64_t now_ns);
/* Counts a start. */
void kwb_room_shares_add(
    struct kwb_room_shares *shares, uint32_t index, uint64_t now_ns);
/* Places that the workspaces of an entry had lately, in thousandths. */
uint32_t kwb_room_shares_get(
    const struct kwb_room_shares *shares, uint32_t index, uint64_t now_ns);

/* ---- Queue --------------------------------------------------------------- */

struct kwb_room_waiter;

struct kwb_room_waiter_ops {
	/*
	 * Starts the request, or ends it; false when no upstream takes it now.
	 * The waiter is out of the queue unless false is returned.
	 */
	bool (*start)(struct kwb_room_waiter *waiter);
	/* Ends the request, which has not run and never will. */
	void (*refuse)(struct kwb_room_waiter *waiter, uint64_t expected_ns);
};

/* A request that asks for a place; memory of the caller, zeroed before use. */
struct kwb_room_waiter {
	const struct kwb_room_waiter_ops *ops;
	/* Set by the caller. */
	const char *service;
	const char *workspace; /* "" for none */
	const char *id;	       /* for the log */
	uint32_t rank;
	uint64_t deadline_ns;
	bool may_have_run;		/* must not be refused */
	struct kwb_room_service *place; /* that it has since its start */
	uint64_t started_ns;
	bool is_stream; /* lasts longer than the pace of its service */
	/* State. */
	uint64_t since_ns;
	uint32_t share; /* index of its workspace's share */
	uint64_t pass;	/* of the queue, that has tried it last */
	bool is_waiting;
	TAILQ_ENTRY(kwb_room_waiter) entry;
};

TAILQ_HEAD(kwb_room_waiter_list, kwb_room_waiter);

struct kwb_room_service {
	char *name;
	struct kwb_room_limit limit;
};

struct kwb_room_rank_total {
	uint64_t started;
	uint64_t wait_ns;
};

struct kwb_room {
	const struct kwb_registry *registry;
	struct event *timer;
	struct kwb_room_waiter_list waiters;
	uint32_t waiting_count;
	bool is_enabled; /* else requests are not queued here */
	bool is_draining;
	uint64_t pass;
	struct kwb_room_service services[KWB_ROOM_SERVICES_MAX];
	uint32_t services_count;
	struct kwb_room_shares shares;
	struct kwb_room_rank_total ranks[KWB_ROOM_RANKS_MAX];
};

/* Makes an empty queue that is not enabled; KWB_ERR_MEMORY on failure. */
int kwb_room_init(struct kwb_room *room, struct event_base *base,
    const struct kwb_registry *registry);
/* No waiter may be left. */
void kwb_room_finish(struct kwb_room *room);
/* Starts, queues or refuses a request; its ops may be called at once. */
void kwb_room_enter(struct kwb_room *room, struct kwb_room_waiter *waiter);
/* Takes a waiter out, if it is in the queue. */
void kwb_room_leave(struct kwb_room *room, struct kwb_room_waiter *waiter);
/*
 * A request that has started has ended, if it has: its place is free. outcome:
 * NULL when it tells nothing, as its caller has left.
 */
void kwb_room_end(struct kwb_room *room, struct kwb_room_waiter *waiter,
    const struct kwb_room_outcome *outcome);
/* A place may be free: tries the waiters in order, on the loop's next turn. */
void kwb_room_wake(struct kwb_room *room);
/* Appends metrics by rank and by workspace, with a bounded number of labels. */
void kwb_room_print(const struct kwb_room *room, struct kwb_buf *out);

#endif
