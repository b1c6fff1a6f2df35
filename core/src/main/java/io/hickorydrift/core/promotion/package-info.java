/** When a primary has to be replaced, and by which target. */
package io.hickorydrift.core.promotion;
