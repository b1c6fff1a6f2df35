/** Fair sharing of scarce connections between organisations. */
package io.hickorydrift.core.queue;
