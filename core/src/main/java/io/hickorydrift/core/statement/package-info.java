/** Statements of callers on session connections, and what targets answer. */
package io.hickorydrift.core.statement;
