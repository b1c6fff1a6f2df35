/** Bounds on the staleness of replica data. */
package io.hickorydrift.core.freshness;
