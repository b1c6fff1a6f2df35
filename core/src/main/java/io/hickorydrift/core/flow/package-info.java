/**
 * Deterministic state machines of single requests: reads, writes and the parts of a transaction.
 */
package io.hickorydrift.core.flow;
