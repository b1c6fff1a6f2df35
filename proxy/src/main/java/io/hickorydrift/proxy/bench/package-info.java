/** Measurements, and a small fleet on loopback in one process for them, the demo and tests. */
package io.hickorydrift.proxy.bench;
