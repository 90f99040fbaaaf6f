/*
 * Placement: when a request would end at an upstream, whether a move of a
 * running generation ends it sooner, and why connections are opened.
 */
#ifndef KWB_PLACEMENT_H
#define KWB_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "kwb_config.h"

struct kwb_address;

/* ---- Expected end of a request ------------------------------------------- */

/* What is known of the pace of an upstream; see struct kwb_upstream. */
struct kwb_pace_view {
	uint64_t usual_ns;	/* of a unit of work in this life; 0 unknown */
	uint64_t recent_ns;	/* of one lately; 0 unknown */
	uint64_t recent_age_ns; /* of that figure */
	uint64_t slow_ns;	/* how long it had been slow then; 0 if not */
	uint32_t percent;	/* reported, 100 as usual; 0 for none */
	uint32_t usual_percent; /* lowest reported in this life */
	uint64_t percent_age_ns;
	/* Of the whole service, where nothing is known of this upstream. */
	uint64_t service_ns;
	uint32_t load; /* requests there, without the one to be placed */
	uint32_t slots;
	uint64_t unread_tokens;	    /* of prompts that are read there first */
	uint64_t read_ns_per_token; /* of a prompt; 0 unknown */
};

/* Time that units of work take there if they start now; pure. */
uint64_t kwb_pace_run_ns(const struct kwb_pace_view *view, uint64_t units);

/*
 * What a prompt of so many tokens that aren't cached there costs: the time
 * until it is read, and by how much it holds up what runs there; pure.
 */
uint64_t kwb_prompt_cost_ns(
    const struct kwb_pace_view *view, uint64_t prompt_tokens);

/* What decides whether a run that could move does. */
struct kwb_move_terms {
	uint64_t stay_ns;	/* until its end where it runs */
	uint64_t move_ns;	/* until its end elsewhere, reading included */
	uint64_t step_least_ns; /* that its whole step takes at least */
	uint32_t moves;		/* of this run so far */
};

bool kwb_move_pays(const struct kwb_move_terms *terms); /* pure */

/* Units of work that a generation still has to do; pure. */
uint64_t kwb_units_left(
    uint64_t length_hint, uint64_t hint_per_unit, uint64_t units_done);

/* ---- Connections: why each was opened ------------------------------------ */

enum kwb_conn_cause {
	KWB_CONN_FIRST,		 /* to an address not connected to before */
	KWB_CONN_BUSY,		 /* more are in use there than ever before */
	KWB_CONN_NOT_REPEATABLE, /* the request must not meet an old one */
	KWB_CONN_SAME_ID,	 /* the idle ones have carried its id */
	/* Replaces an earlier one, the last of which ended for this reason: */
	KWB_CONN_CUT,	 /* this node gave its request up */
	KWB_CONN_CLOSED, /* its server closed it, or asked for that */
	KWB_CONN_RESET,	 /* it broke */
	KWB_CONN_IDLE,	 /* it was idle for as long as its server allows */
	KWB_CONN_CAUSES
};

/* What is known of the connections to one address. */
struct kwb_conn_past {
	uint64_t hash; /* of the address; 0 when unused */
	uint32_t open; /* connections open now */
	uint32_t peak; /* most that were open at once */
	enum kwb_conn_cause last_end;
};

/* A hash table in which a newer address replaces an older one. */
struct kwb_conn_history {
	struct kwb_conn_past pasts[KWB_CONN_PASTS_MAX];
};

const char *kwb_conn_cause_name(enum kwb_conn_cause cause);
/* Counts a new connection; returns why it is opened. */
enum kwb_conn_cause kwb_conn_history_open(struct kwb_conn_history *history,
    const struct kwb_address *address, bool wants_new);
void kwb_conn_history_end(struct kwb_conn_history *history,
    const struct kwb_address *address, enum kwb_conn_cause why);

#endif
