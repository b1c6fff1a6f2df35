/** Result codes and the exception that carries them. */
package io.hickorydrift.core.error;
