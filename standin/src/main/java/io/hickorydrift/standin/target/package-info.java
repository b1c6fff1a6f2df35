/** Stand-in for a target: SQL engine, replicated log and replication with a configurable lag. */
package io.hickorydrift.standin.target;
