/*
 * Inside of the batch package: a batch that this node runs, and its items.
 */
#ifndef KWB_BATCH_H
#define KWB_BATCH_H

#include "kwb_node.h"

#define TABLE_HEADS "heads"	/* one row a batch, part "" */
#define TABLE_RESULTS "results" /* part: batch, key: position */
#define TABLE_DONE "done"	/* part: batch, key: item, value: position */
#define TABLE_PARTIAL "partial" /* part: batch, key: item.event */
#define TABLE_NODES "nodes"	/* heartbeats of nodes that own batches */

#define POSITION_DIGITS 6
#define OBJECT_MARK '@' /* a value that names the object that holds it */
#define OBJECT_NAME_BYTES (2 * KWB_KEY_MAX_BYTES + 32)
#define ITEM_VERSIONS_MAX 8
#define PIECES_MAX 40 /* of texts, written in one transaction */

enum item_state {
	ITEM_WAITING,
	ITEM_RUNNING,
	ITEM_SCORING,
	ITEM_READY,   /* to be listed */
	ITEM_LISTING, /* in a transaction */
	ITEM_LISTED
};

struct item_run {
	struct kwb_batch *batch;
	const struct kwb_batch_item *item;
	struct kwb_exchange exchange;
	struct kwb_sse_parser events;
	struct kwb_upstream *upstream; /* while running */
	struct kwb_buf text;
	uint64_t last_event;
	struct kwb_piece saved; /* last one of its text in the store */
	size_t saved_bytes;	/* of the text, up to there */
	uint64_t sending_event; /* last one of a piece on its way; 0: none */
	size_t sending_bytes;	/* of the text, likewise */
	uint64_t event_ns;	/* when it came */
	uint64_t version;	/* of the events that come now */
	uint64_t versions[ITEM_VERSIONS_MAX];
	uint64_t begin_ns; /* at this upstream */
	uint64_t retry_ns; /* not before */
	uint64_t whole_ns; /* when its text was */
	struct kwb_forward score;
	char *receipt; /* of the reward call */
	uint32_t group;
	enum item_state state;
	enum kwb_item_state result;
	uint32_t versions_count;
	uint32_t moves;	       /* away from slow upstreams */
	uint32_t errors;       /* answers of 500 */
	uint32_t score_errors; /* likewise, of its reward call */
	bool resumed;	       /* after the last piece, by this process */
	bool in_object;	       /* its result is too long for a row */
	bool order_broken;     /* an event was missing */
	bool score_open;
};

struct batch_group {
	const char *name;
	bool spare; /* the trainer likely does without it */
	uint64_t longest_hint;
	char upstream_id[KWB_NAME_MAX_BYTES]; /* that read its prompt last */
};

struct kwb_batch {
	struct kwb_batches *batches;
	struct kwb_batch_head head;
	struct kwb_batch_spec spec;
	struct item_run *runs;
	struct batch_group *groups;
	uint32_t groups_count;
	uint64_t longest_hint;	    /* of its items */
	struct kwb_store_call call; /* loads, lists, hands over */
	struct kwb_store_call checkpoint;
	struct kwb_store_call text_call; /* a result into an object */
	struct item_run *text_run;
	uint64_t checkpoint_ns;
	uint64_t loading_ns; /* when a failed load is tried again */
	bool loaded;	     /* spec and done items are known */
	bool listing;
	bool in_doubt; /* what is listed has to be read first */
	bool leaving;  /* is handed over */
	bool closing;  /* has ended, or another node owns it */
	uint32_t listed;
	uint32_t leave_next; /* next run whose text is handed over */
	TAILQ_ENTRY(kwb_batch) entry;
};

/* load.c: a batch from the store into memory, and out of it */
struct kwb_batch *batch_new(
    struct kwb_batches *batches, const struct kwb_batch_head *head);
int batch_set_spec(struct kwb_batch *batch, struct kwb_batch_spec *spec);
void batch_begun(struct kwb_batch *batch);
void batch_load(struct kwb_batch *batch);
void batch_free(struct kwb_batch *batch);
bool batch_read_more(struct kwb_batch *batch, const char *table,
    const struct kwb_store_answer *answer); /* true when more rows follow */
struct item_run *batch_run(
    struct kwb_batch *batch, const char *item, size_t item_bytes);
void batch_mark_listed(struct kwb_batch *batch,
    const struct kwb_store_answer *answer); /* rows of TABLE_DONE */
struct kwb_batch *batch_find(const struct kwb_batches *batches, const char *id);
void object_name(char *name, size_t room_bytes, const char *batch);

/* run.c: items at upstreams */
const struct kwb_batch_env *run_env(const struct item_run *run);
void run_log(const struct item_run *run, const char *event, const char *reason);
bool run_is_past_ttl(const struct item_run *run);
void run_ready(struct item_run *run, enum kwb_item_state result,
    const char *reason); /* its result is settled */
void run_retry(struct item_run *run, uint64_t wait_ns,
    const char *reason); /* gives its place back and waits for another */
void run_start(struct item_run *run, struct kwb_upstream *upstream,
    const struct kwb_route_entry *route);
void run_stop(struct item_run *run); /* gives its place back */
void run_finish(struct item_run *run);

/* score.c: the reward */
void run_score(struct item_run *run);

/* pump.c: places for items */
void run_rank(const struct item_run *run, struct kwb_item_rank *rank);
bool batch_pump(struct kwb_batch *batch); /* true when items wait */
void batch_move(struct kwb_batch *batch); /* items to better places */

/* list.c: results into the store */
void batch_list(struct kwb_batch *batch);
void batch_reconcile(struct kwb_batch *batch);
void batch_listed(struct kwb_batch *batch); /* nothing is left to do */

/* own.c: who runs which batch */
int own_init(struct kwb_batches *batches);
void own_finish(struct kwb_batches *batches);
void own_changed(struct kwb_batches *batches,
    const struct kwb_batch_head *head); /* the owner of a batch is new */
bool own_is_mine(
    const struct kwb_batches *batches, const struct kwb_batch_head *head);
bool own_is_alive(const struct kwb_batches *batches,
    const char *node); /* has beaten just now */
bool own_keeps(const struct kwb_batches *batches,
    const char *owner); /* is given its trainer's next batch, too */
void own_look(struct kwb_batches *batches);

/* partial.c: texts that items have so far */
void batch_leave(struct kwb_batch *batch);	/* hands the batch over */
void batch_checkpoint(struct kwb_batch *batch); /* writes what has grown */
void partial_read(struct kwb_batch *batch,
    const struct kwb_row *row); /* a piece, in the order of their keys */
void text_forget(struct item_run *run); /* begins anew */

/* sweep.c: batches that nobody may ask for any more */
void sweep_look(struct kwb_batches *batches);
bool sweep_is_due(
    const struct kwb_batches *batches, const struct kwb_batch_head *head);

/* heads.c */
void heads_put(struct kwb_batches *batches, const struct kwb_batch_head *head);
void head_write(const struct kwb_batch_head *head, struct kwb_tx *tx,
    struct kwb_buf *value); /* a conditional write of its row */

/* read.c */
void reads_wake(struct kwb_batches *batches, const char *batch);

#endif
