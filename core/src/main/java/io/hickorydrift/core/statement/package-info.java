/**
 * Decoded statements of callers on session connections, and commands to and messages from targets.
 */
package io.hickorydrift.core.statement;
