/** A model of one group under load, in simulated time, to compare decisions of {@code core}. */
package io.hickorydrift.proxy.bench.load;
