/** Detection of a failed primary and promotion of another target. */
package io.hickorydrift.core.failover;
