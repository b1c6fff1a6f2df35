/** Accepted settings: the entry log, the teams' subtrees and the typed settings. */
package io.hickorydrift.core.config;
