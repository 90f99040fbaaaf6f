/*
 * Text that the fake engine generates, for the engine itself and for tests that
 * check samples. Token i is "HHHH.V": a hash of prompt, seed and i, and the
 * weight version that generated the token.
 */
#ifndef KWB_FAKES_TEXT_H
#define KWB_FAKES_TEXT_H

#include <stdint.h>

#define FAKE_TOKEN_MAX_BYTES 32

/* Identifies the sequence in the functions below. */
uint64_t fake_sequence_hash(const char *prompt, uint64_t seed);
/* Prints a token to text, which has FAKE_TOKEN_MAX_BYTES. */
void fake_token_text(
    char *text, uint64_t sequence, uint32_t index, uint64_t version);
/*
 * Length in tokens, at least 1: log-normal in shape, with the given median and
 * deviation of the logarithm.
 */
uint32_t fake_sequence_length(
    uint64_t sequence, int64_t median, int64_t spread_percent);

#endif
