/** Simulation of one group under load that compares the scheduling policies of {@code core}. */
package io.hickorydrift.proxy.bench.load;
