/** Eviction of idle target connections when organisations need more than are allowed. */
package io.hickorydrift.core.connection;
