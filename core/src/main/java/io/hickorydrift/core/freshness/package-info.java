/** Proofs of how old a replica's data may be. */
package io.hickorydrift.core.freshness;
