/**
 * Assignment of database groups and other responsibilities to instances and slots by rendezvous
 * hashing.
 */
package io.hickorydrift.core.placement;
