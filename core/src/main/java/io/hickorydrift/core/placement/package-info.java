/** Placement of duties on instances and slots. */
package io.hickorydrift.core.placement;
