package io.hickorydrift.core.declaration;

import io.hickorydrift.core.limit.RateLimit;
import java.util.Set;

/**
 * Declared settings of an organisation.
 *
 * <p>Thread safety: immutable.
 *
 * @param name name of the organisation
 * @param priority 0 is the highest
 * @param limit rate limit of its operations across the whole fleet
 * @param allowedRegions regions whose targets may run its statements; empty if all may
 */
public record DeclaredOrganisation(
    String name, int priority, RateLimit limit, Set<String> allowedRegions) {}
