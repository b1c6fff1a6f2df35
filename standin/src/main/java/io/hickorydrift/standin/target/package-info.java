/** Stand-in of a target: SQL, log and lagging replication. */
package io.hickorydrift.standin.target;
