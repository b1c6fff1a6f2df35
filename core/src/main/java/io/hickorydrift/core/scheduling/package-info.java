/** Order, limits and refusal of the work that waits for a target at its home. */
package io.hickorydrift.core.scheduling;
