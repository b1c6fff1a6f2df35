package io.hickorydrift.core.declaration;

import io.hickorydrift.core.limit.RateLimit;

/**
 * Declared settings of an organisation.
 *
 * <p>Thread safety: immutable.
 *
 * @param name name of the organisation
 * @param priority 0 is the highest
 * @param limit rate limit of its operations across the whole fleet
 */
public record DeclaredOrganisation(String name, int priority, RateLimit limit) {}
