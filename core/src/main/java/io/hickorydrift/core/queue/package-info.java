/** Fair queueing of organisations in front of a fixed number of connections. */
package io.hickorydrift.core.queue;
