/** Policies for acknowledging commits to callers. */
package io.hickorydrift.core.commit;
