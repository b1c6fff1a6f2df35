package io.hickorydrift.core.declaration;

/**
 * A database group as declared; its targets announce themselves.
 *
 * <p>Thread safety: immutable.
 *
 * @param name its name
 * @param maxConnections connections that each target takes from the whole fleet
 * @param syncReplicas replicas that have received a commit before it is acknowledged
 */
public record DeclaredGroup(String name, int maxConnections, int syncReplicas) {}
