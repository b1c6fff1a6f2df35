/** Positions in the history of the platform's store. */
package io.hickorydrift.core.store;
