/** Lifecycle of an instance of hickorydrift: creates, starts and stops its components. */
package io.hickorydrift.proxy;
