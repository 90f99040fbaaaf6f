/*
 * Admission of requests by their keys. The evidence that a node's config is the
 * newest comes from the feed that it follows anyway; where a request needs
 * newer evidence, the store is asked once for all that wait.
 */
#include "kwb_node.h"

static uint64_t
proof_of(const struct kwb_access *access)
{
	return access->is_config_unread ? 0 : access->follower->proof_ns;
}

/* Whether a question to the store has failed, or is unanswered for too long. */
static bool
is_store_silent(const struct kwb_access *access, uint64_t now_ns)
{
	const struct kwb_follower *follower = access->follower;

	return follower->failures > 0 ||
	    (follower->reading &&
		now_ns - follower->sent_ns >= KWB_ACCESS_WAIT_NS);
}

static void
ask(struct kwb_access *access, uint64_t now_ns)
{
	if (now_ns - access->asked_ns < KWB_ACCESS_ASK_NS)
		return;
	access->asked_ns = now_ns;
	kwb_follower_ask(access->follower);
}

enum kwb_access_verdict
kwb_access_check(struct kwb_access *access, struct kwb_access_request *request)
{
	const struct kwb_node_config *config = *access->config;
	uint64_t now_ns = kwb_boot_now_ns();
	uint64_t proof_ns = proof_of(access);
	int64_t found;
	struct kwb_access_input input = {.proof_ns = proof_ns,
	    .max_age_ns = kwb_access_proof_max_age_ns(
		access->settings->is_revocation_strict,
		access->settings->revoke_ms),
	    .arrived_ns = request->arrived_ns,
	    .now_ns = now_ns};
	enum kwb_access_verdict verdict;

	request->workspace = "";
	request->proof_age_ns = proof_ns == 0 ? UINT64_MAX
	    : now_ns > proof_ns		      ? now_ns - proof_ns
					      : 0;
	if (!config->has_workspaces || request->is_public)
		return KWB_ACCESS_ADMIT;
	found = kwb_access_keys_find(&config->keys, request->key);
	input.is_known = found >= 0;
	if (!is_store_silent(access, now_ns))
		input.wait_until_ns = request->arrived_ns + KWB_ACCESS_WAIT_NS;
	verdict = kwb_access_decide(&input);
	if (verdict == KWB_ACCESS_ADMIT)
		request->workspace = config->workspaces[found].name;
	if (verdict != KWB_ACCESS_ASK)
		return verdict;
	ask(access, now_ns);
	request->recheck_ns = access->asked_ns + KWB_ACCESS_ASK_NS;
	if (input.wait_until_ns < request->recheck_ns)
		request->recheck_ns = input.wait_until_ns;
	return verdict;
}

void
kwb_access_keep_proof(struct kwb_access *access)
{
	const struct kwb_node_config *config = *access->config;
	const struct kwb_node_settings *settings = access->settings;
	struct kwb_follower *follower = access->follower;
	uint32_t wait_ms = settings->revoke_ms / KWB_ACCESS_WAIT_DIVISOR;

	if (config == NULL || !config->has_workspaces ||
	    !settings->is_revocation_strict)
		return;
	kwb_follower_keep_proof(follower, wait_ms);
	if (kwb_boot_now_ns() - follower->sent_ns >=
	    follower->asked_ms * KWB_MS_NS + KWB_ACCESS_LATE_NS)
		kwb_follower_ask(follower);
}
