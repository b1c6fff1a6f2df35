/** Metrics. */
package io.hickorydrift.proxy.metrics;
