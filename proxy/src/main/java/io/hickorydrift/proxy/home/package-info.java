/** Home duty: serves the groups that this instance is a home of, and watches their primaries. */
package io.hickorydrift.proxy.home;
