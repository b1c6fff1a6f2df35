/** Bounds on the requests to targets that are slow after their start. */
package io.hickorydrift.core.warmup;
