/*
 * Fuzz targets of the node: each takes bytes from outside as they come, and
 * must neither crash nor leak. Built with a fuzzing engine by "make fuzz", or
 * with a driver that plays the corpus by "make check".
 */
#ifndef KWB_TESTS_FUZZ_H
#define KWB_TESTS_FUZZ_H

#include <stddef.h>
#include <stdint.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length_bytes);

#endif
