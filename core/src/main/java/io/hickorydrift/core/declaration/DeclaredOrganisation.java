package io.hickorydrift.core.declaration;

import io.hickorydrift.core.limit.RateLimit;

/**
 * An organisation as declared.
 *
 * <p>Thread safety: immutable.
 *
 * @param name its name
 * @param priority 0 is the highest
 * @param limit operations across the whole fleet
 */
public record DeclaredOrganisation(String name, int priority, RateLimit limit) {}
