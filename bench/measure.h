/*
 * Helpers of the measurements: resource usage of a process, percentiles, and a
 * line fitted to a series of points.
 */
#ifndef KWB_BENCH_MEASURE_H
#define KWB_BENCH_MEASURE_H

#include "../tests/world.h"

#define POINTS_MAX 8

/* Resource usage of an entry or agent since its start. */
struct usage {
	double cpu_ms;
	double rss_kb;	      /* resident now */
	double control_bytes; /* sent, as the process counts them */
};

/* Measured values y at the sizes x. */
struct series {
	unsigned count;
	double x[POINTS_MAX];
	double y[POINTS_MAX];
};

/* Reads the usage of a running process of the deployment. */
void usage_read(struct cluster *cluster, const char *name, struct usage *usage);
/* Adds a point; ignored beyond POINTS_MAX. */
void series_add(struct series *series, double x, double y);
/*
 * Prints the points of a series, and slope and intercept of the line fitted to
 * them by least squares.
 */
void line_print(const struct series *series, const char *title,
    const char *x_unit, const char *y_unit);
/* The value at a fraction from 0 to 1; sorts values. 0 if there are none. */
double percentile(double *values, unsigned count, double fraction);

#endif
