package io.hickorydrift.core.declaration;

import java.util.Map;

/**
 * One version of everything that operators declare.
 *
 * <p>Thread safety: immutable.
 *
 * @param version versions increase in uneven steps
 * @param routes routes by database
 * @param groups groups by name
 * @param organisations organisations by name
 * @param keyOwners organisation's name by key; keys are never logged
 * @param transactionIdleTimeoutMs how long a transaction may stay idle before it may be ended
 */
public record Declaration(
    long version,
    Map<String, Route> routes,
    Map<String, DeclaredGroup> groups,
    Map<String, DeclaredOrganisation> organisations,
    Map<String, String> keyOwners,
    long transactionIdleTimeoutMs) {
  /** Declares nothing; older than every version. */
  public static final Declaration NONE =
      new Declaration(-1, Map.of(), Map.of(), Map.of(), Map.of(), 0);
}
