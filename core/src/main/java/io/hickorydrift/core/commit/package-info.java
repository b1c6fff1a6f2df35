/** When a commit is acknowledged to its caller. */
package io.hickorydrift.core.commit;
