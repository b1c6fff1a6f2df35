/** Failure detection of a group's primary and fenced promotion of another target. */
package io.hickorydrift.core.failover;
