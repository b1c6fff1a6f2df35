/** Connections to targets. */
package io.hickorydrift.proxy.target;
