/** The steps of one read, write or commit, as deterministic state machines. */
package io.hickorydrift.core.flow;
