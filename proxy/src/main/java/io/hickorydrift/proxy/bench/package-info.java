/** A small fleet on loopback in one process, for the demo, measurements and tests. */
package io.hickorydrift.proxy.bench;
