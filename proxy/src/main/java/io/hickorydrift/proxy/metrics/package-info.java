/** Prometheus metrics of an instance. */
package io.hickorydrift.proxy.metrics;
