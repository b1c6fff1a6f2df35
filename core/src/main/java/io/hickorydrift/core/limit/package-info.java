/** Rate limits enforced across the fleet: token buckets, leased slots and token grants. */
package io.hickorydrift.core.limit;
