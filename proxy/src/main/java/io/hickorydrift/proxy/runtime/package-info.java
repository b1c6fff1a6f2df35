/** Worker threads with bounded ring buffers, the timer service and JSON. */
package io.hickorydrift.proxy.runtime;
