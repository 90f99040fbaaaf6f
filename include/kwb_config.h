/*
 * Compile-time limits. Every size, period and bound that is not an operator's
 * setting stands here, with its unit in its name.
 */
#ifndef KWB_CONFIG_H
#define KWB_CONFIG_H

#define KWB_VERSION "0.1.0"
#define KWB_PROTOCOL 1

/* Text and tables */
#define KWB_NAME_MAX_BYTES 64
#define KWB_KEY_MAX_BYTES 192
#define KWB_URL_MAX_BYTES 256
#define KWB_PLANS_MAX 64
#define KWB_RULES_MAX 16
#define KWB_MODELS_MAX 16
#define KWB_VMS_MAX 4096
#define KWB_PEERS_MAX 512
#define KWB_LINKS_MAX 1024
#define KWB_SEEDS_MAX 32
#define KWB_SHARDS 16
#define KWB_FAULTS_MAX 64
#define KWB_FAULT_MAX_BYTES 240

/* Wire */
#define KWB_FRAME_MAX_BYTES (4u << 20)
#define KWB_LINK_OUT_MAX_BYTES (32u << 20)
#define KWB_HEARTBEAT_NS (1000 * KWB_MS_NS)
#define KWB_HEARTBEAT_LINKS 8 /* beyond these, beats come less often */
#define KWB_HEARTBEAT_LINK_NS (160 * KWB_MS_NS)
#define KWB_LINK_SILENT_BEATS 3
#define KWB_RECONNECT_NS (250 * KWB_MS_NS)
#define KWB_RECONNECT_MAX_NS (2000 * KWB_MS_NS)
#define KWB_STATUS_BEATS 5
#define KWB_PROGRESS_NS (50 * KWB_MS_NS)

/* HTTP */
#define KWB_BODY_MAX_BYTES (8u << 20)
#define KWB_HTTP_TIMEOUT_MS 2000
#define KWB_CONNECT_TIMEOUT_MS 500

/* Platform */
#define KWB_LISTS_POLL_NS (1000 * KWB_MS_NS)
#define KWB_VMS_POLL_NS (2000 * KWB_MS_NS)
#define KWB_SHARE_POLL_NS (2000 * KWB_MS_NS)
#define KWB_HOME_AGENTS_MIN 32
#define KWB_HOME_UNITS 8
#define KWB_DEMAND_NS (60000 * KWB_MS_NS)
#define KWB_SHARE_GONE_NS (10000 * KWB_MS_NS)
#define KWB_CAS_TRIES 8

/* Requests */
#define KWB_CALL_TIMEOUT_MS 30000
#define KWB_STEP_TIMEOUT_MS 540000
#define KWB_JOBS_MAX 16384
#define KWB_JOB_KEEP_MS 600000
#define KWB_SAMPLE_KEEP_BYTES (48u << 20)
#define KWB_ATTACH_MAX 4
#define KWB_ORPHAN_NS (10000 * KWB_MS_NS)
#define KWB_TICKET_MS 300000
#define KWB_RETRY_PERCENT 10
#define KWB_RETRY_BURST 20
#define KWB_QUEUE_POLL_NS (5 * KWB_MS_NS)
#define KWB_BUSY_NS (20 * KWB_MS_NS)
#define KWB_TRIP_NS (1000 * KWB_MS_NS)
#define KWB_TRIP_FAILURES 3

/* Weights */
#define KWB_LEASE_MS 6000
#define KWB_LEASE_RENEW_NS (2000 * KWB_MS_NS)
#define KWB_WEIGHTS_POLL_NS (500 * KWB_MS_NS)
#define KWB_SWAP_TIMEOUT_MS 15000

#endif
