/*
 * Internals of src/batch: a batch that this node runs, the runs of its items,
 * and the functions that its files share.
 */
#ifndef KWB_BATCH_H
#define KWB_BATCH_H

#include "kwb_node.h"

/* Tables of the store: parts, keys and values. */
#define TABLE_RECORDS "heads"	/* part: "", key: batch, value: its record */
#define TABLE_RESULTS "results" /* part: batch, key: position */
#define TABLE_DONE "done"	/* part: batch, key: item, value: position */
#define TABLE_PARTIAL "partial" /* part: batch, key: item.event: a chunk */
#define TABLE_NODES "nodes"	/* part: "", key: node: heartbeats of owners */

#define POSITION_DIGITS 6
#define OBJECT_PREFIX '@' /* of a value that is the name of an object */
#define OBJECT_NAME_BYTES (2 * KWB_KEY_MAX_BYTES + 32) /* of batch and item */
#define OBJECT_WORKSPACE_MAX_BYTES 63 /* a longer one stands as its digest */
#define ITEM_VERSIONS_MAX 8
#define CHUNKS_MAX 40	       /* of texts, written in one transaction */
#define DISPATCH_PLACES_MAX 32 /* full ones that a pass remembers */

enum item_state {
	ITEM_WAITING, /* for an upstream */
	ITEM_RUNNING,
	ITEM_SCORING, /* its reward is requested, or waits to be */
	ITEM_READY,   /* to be listed */
	ITEM_LISTING, /* in a transaction */
	ITEM_LISTED
};

/* An item while this node owns its batch. Times are kwb_clock_now_ns(). */
struct item_run {
	struct kwb_batch *batch;
	const struct kwb_batch_item *item;
	struct kwb_exchange exchange;  /* with the upstream */
	struct kwb_sse_parser events;  /* decoder of the stream */
	struct kwb_upstream *upstream; /* while running, else NULL */
	uint64_t incarnation_ms;       /* of the upstream, at the start */
	struct kwb_buf text; /* data of all events, joined by line feeds */
	uint64_t last_event; /* number of events in the text */
	struct kwb_text_chunk saved_chunk; /* last one stored or restored */
	size_t saved_bytes;		   /* of the text, up to there */
	uint64_t sending_event; /* last one of a chunk being written; 0 none */
	size_t sending_bytes;	/* of the text, up to there */
	uint64_t last_event_ns; /* 0 before the first at this upstream */
	uint64_t version;	/* of the weights that generate now */
	uint64_t versions[ITEM_VERSIONS_MAX]; /* of the events so far */
	uint64_t started_ns;		      /* at this upstream */
	uint64_t waiting_since_ns;
	uint64_t unread_tokens; /* of its prompt, until its first event */
	/* When it would have ended without its last move; 0 for no move. */
	uint64_t unmoved_end_ns;
	uint64_t not_before_ns; /* earliest next start, or request of reward */
	uint64_t text_complete_ns;
	struct kwb_forward score; /* request of the reward */
	char *receipt;		  /* of the reward call */
	uint32_t group;		  /* index among the batch's groups */
	enum item_state state;
	enum kwb_item_state result; /* once it is ready */
	uint32_t versions_count;
	uint32_t moves;	       /* away from slow upstreams */
	uint32_t errors;       /* answers with status 500 */
	uint32_t score_errors; /* likewise, of the request of its reward */
	bool resumed;	       /* its text comes from restored chunks */
	bool result_in_object; /* too long for a row */
	bool stream_broken;    /* an event is missing or of wrong weights */
	bool text_too_long; /* for one item, or for the memory that is left */
	bool score_active;  /* a request of the reward has been started */
	/* Found last, for the config of that version. */
	const struct kwb_route_entry *route;
	uint64_t route_config_version;
};

struct batch_group {
	const char *name;
	bool surplus;	       /* the trainer will likely not wait for it */
	uint64_t longest_hint; /* length_hint of its longest item */
	char *upstream_id;     /* that read its prompt last; or NULL */
};

/* What is found out while waiting items are tried; see dispatch_run(). */
struct dispatch_pass {
	uint64_t now_ns;
	bool may_probe_early; /* suspect upstreams, ahead of their time */
	const struct kwb_route_entry *route; /* of usable_splits; or NULL */
	uint64_t usable_splits;
	/* Where nothing more can start. */
	struct {
		const char *service;
		uint64_t version; /* that the text must go on with, or 0 */
	} full[DISPATCH_PLACES_MAX];
	uint32_t full_count;
};

/* A batch that this node runs. */
struct kwb_batch {
	struct kwb_batches *batches;
	struct kwb_batch_record record;
	struct kwb_batch_spec spec;
	struct item_run *runs; /* one per item of spec, in that order */
	struct batch_group *groups;
	uint32_t groups_count;
	uint64_t longest_hint;	/* unused */
	uint64_t least_time_ns; /* that its step still takes, at usual pace */
	struct kwb_store_call call;		  /* loads, lists, hands over */
	struct kwb_store_call checkpoint_call;	  /* writes chunks of texts */
	struct kwb_store_call result_object_call; /* stores a long result */
	struct item_run *result_object_run;	  /* whose result that is */
	uint64_t checkpoint_started_ns;		  /* of the last one */
	uint64_t waits_logged_ns; /* when items were last without a place */
	uint64_t load_retry_ns;	  /* when a failed load is repeated; 0 none */
	bool loaded;		  /* spec, listed items and texts are known */
	bool listing;		  /* a transaction that lists is in progress */
	bool in_doubt;		  /* listed items have to be read before more */
	bool handing_over;	  /* nothing runs any more */
	bool config_behind;	  /* it waited for the config of its acceptor */
	bool closing;	 /* is complete or released, and will be freed */
	uint32_t listed; /* items with a result: the next position */
	uint32_t hand_over_next; /* next run whose text is written */
	TAILQ_ENTRY(kwb_batch) entry;
};

/* load.c: a batch in memory */
struct kwb_batch *batch_new(struct kwb_batches *batches,
    const struct kwb_batch_record *record); /* in order of acceptance, not yet
					       loaded; NULL without memory */
int batch_set_spec(struct kwb_batch *batch,
    struct kwb_batch_spec *spec); /* takes it over; 0 or KWB_ERR_MEMORY */
void batch_mark_started(struct kwb_batch *batch); /* it is no longer fresh */
void batch_load(struct kwb_batch *batch);	  /* from the store */
void batch_free(struct kwb_batch *batch);
bool batch_read_more(struct kwb_batch *batch, const char *table,
    const struct kwb_store_answer *answer); /* true when more rows follow */
struct item_run *batch_find_run(struct kwb_batch *batch, const char *item,
    size_t item_bytes); /* by the item's id; or NULL */
void batch_mark_listed(struct kwb_batch *batch,
    const struct kwb_store_answer *answer); /* rows of TABLE_DONE */
struct kwb_batch *batch_find(
    const struct kwb_batches *batches, const char *id); /* or NULL */
void batch_object_name(char *name, size_t capacity_bytes, const char *workspace,
    const char *batch); /* of the object that holds its submission; no workspace
			   can write another one's */

/* run.c: an item at an upstream */
const struct kwb_batch_env *run_env(const struct item_run *run);
const struct kwb_route_entry *run_route(
    struct item_run *run); /* by the config in force; or NULL */
void run_log(const struct item_run *run, const char *event, const char *reason);
bool run_is_past_ttl(const struct item_run *run); /* may be given up */
void run_ready(struct item_run *run, enum kwb_item_state result,
    const char *reason); /* for listing: its result is final */
void run_note_failure(struct item_run *run,
    int error); /* of its upstream, a KWB_ERR_ number; before run_retry() */
void run_retry(struct item_run *run, uint64_t wait_ns,
    const char *reason); /* leaves its upstream and waits for another */
void run_start(struct item_run *run, struct kwb_upstream *upstream,
    const struct kwb_route_entry *route); /* or resumes it */
void run_stop(struct item_run *run);	  /* leaves its upstream */
void run_finish(struct item_run *run);	  /* stops it and frees its text */
int run_add_text(struct item_run *run, const char *data,
    size_t bytes); /* an event; 0 or KWB_ERR_MEMORY; charges the account */
void run_free_text(struct item_run *run);

/* score.c: the reward of an item */
void run_request_score(struct item_run *run);

/* pump.c: upstreams for items */
void run_get_rank(const struct item_run *run, struct kwb_item_rank *rank);
bool batch_dispatch(
    struct kwb_batch *batch); /* starts items; true when some still wait */
void batch_check_running(
    struct kwb_batch *batch); /* retries stalled items, moves slow ones */

/* list.c: results into the store */
void batch_list_results(struct kwb_batch *batch);
void batch_reconcile(struct kwb_batch *batch); /* reads what is listed */
void batch_mark_complete(struct kwb_batch *batch);

/* own.c: ownership of batches */
int owner_init(struct kwb_batches *batches); /* 0 or KWB_ERR_MEMORY */
void owner_finish(struct kwb_batches *batches);
void owner_note_assignment(struct kwb_batches *batches,
    const struct kwb_batch_record *record); /* the batch has a new owner */
bool owner_is_self(
    const struct kwb_batches *batches, const struct kwb_batch_record *record);
bool owner_is_alive(const struct kwb_batches *batches,
    const char *node); /* its heartbeat is recent */
bool owner_is_kept(const struct kwb_batches *batches,
    const char *owner); /* gets its trainer's next batch, too */
void owner_check_soon(
    struct kwb_batches *batches); /* claims, loads and frees batches */

/* partial.c: texts of items in the store */
void batch_hand_over(struct kwb_batch *batch);	/* writes texts, releases */
void batch_checkpoint(struct kwb_batch *batch); /* writes texts that grew */
void chunk_restore(struct kwb_batch *batch,
    const struct kwb_row *row); /* rows must come in the order of their keys */
void run_reset_text(struct item_run *run); /* its generation begins anew */

/* sweep.c: removal of expired batches */
void sweep_start_next(struct kwb_batches *batches);
bool batch_is_expired(const struct kwb_batches *batches,
    const struct kwb_batch_record *record); /* nobody may ask for it */

/* heads.c: records of all batches */
void records_update(struct kwb_batches *batches,
    const struct kwb_batch_record *record); /* unless a newer one is known */
void record_add_to_tx(const struct kwb_batch_record *record, struct kwb_tx *tx,
    struct kwb_buf *value); /* conditional on the record's revision; value
			       holds the text until tx is sent */

/* read.c: readers of results */
void reads_wake(struct kwb_batches *batches,
    const char *batch); /* there are new results of it */

#endif
