/** Failure detection for primaries and selection of the target to promote. */
package io.hickorydrift.core.promotion;
