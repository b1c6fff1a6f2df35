/** Accepted settings: the log, the subtrees and the typed view of them. */
package io.hickorydrift.core.config;
