/** Targets that serve now, and which of them runs a statement. */
package io.hickorydrift.core.directory;
