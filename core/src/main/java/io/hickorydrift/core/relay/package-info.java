/**
 * Relays of the store: which instance watches the store for its failure domain, and the changes
 * that it passes on to the other instances there.
 */
package io.hickorydrift.core.relay;
