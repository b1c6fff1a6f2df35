/** Order of log positions. */
package io.hickorydrift.core.position;
