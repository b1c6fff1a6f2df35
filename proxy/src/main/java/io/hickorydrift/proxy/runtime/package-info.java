/** Duty threads, the rings between them, and the timer service. */
package io.hickorydrift.proxy.runtime;
