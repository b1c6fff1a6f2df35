package io.hickorydrift.core.declaration;

import java.util.Map;

/**
 * One version of the operator-declared configuration.
 *
 * <p>Thread safety: immutable.
 *
 * @param version version number; versions increase, not always by 1
 * @param routes routes by database
 * @param groups groups by name
 * @param organisations organisations by name
 * @param keyOwners name of the owning organisation by key; keys are never logged
 * @param transactionIdleTimeoutMs time that a transaction may stay idle before it may be rolled
 *     back
 */
public record Declaration(
    long version,
    Map<String, Route> routes,
    Map<String, DeclaredGroup> groups,
    Map<String, DeclaredOrganisation> organisations,
    Map<String, String> keyOwners,
    long transactionIdleTimeoutMs) {
  /** Empty declaration, older than every version. */
  public static final Declaration NONE =
      new Declaration(-1, Map.of(), Map.of(), Map.of(), Map.of(), 0);
}
