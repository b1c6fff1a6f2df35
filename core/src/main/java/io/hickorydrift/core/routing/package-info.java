/** An instance's view of a database group, and selection of the target for a request. */
package io.hickorydrift.core.routing;
