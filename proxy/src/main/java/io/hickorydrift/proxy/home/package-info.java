/** Serves the groups that this instance is a home of, and detects failures of their primaries. */
package io.hickorydrift.proxy.home;
