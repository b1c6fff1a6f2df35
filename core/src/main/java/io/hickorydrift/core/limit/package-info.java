/** Rates and bursts that count across the fleet: slots, buckets and transfers. */
package io.hickorydrift.core.limit;
