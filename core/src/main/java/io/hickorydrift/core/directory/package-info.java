/** Registered targets by database group, and selection of the target for a read. */
package io.hickorydrift.core.directory;
