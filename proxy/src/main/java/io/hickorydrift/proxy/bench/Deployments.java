package io.hickorydrift.proxy.bench;

import java.util.List;

/**
 * Fleet plans of the sizes of two users' deployments. Network delay between failure domains is not
 * simulated.
 *
 * <p>Thread safety: stateless.
 */
final class Deployments {
  private Deployments() {}

  /** Four failure domains, three groups, 20 connections per target, 10 ms to open one. */
  static FleetPlan.Builder pages() {
    return FleetPlan.builder()
        .domains(List.of("apapa", "ikeja", "lekki", "yaba"))
        .instances(7)
        .groups(3)
        .organisations(8)
        .connections(20, 10);
  }

  /** Three failure domains, three groups, 30 connections per target, 30 ms to open one. */
  static FleetPlan.Builder lakeshore() {
    return FleetPlan.builder()
        .domains(List.of("east", "north", "west"))
        .instances(7)
        .groups(3)
        .organisations(8)
        .connections(30, 30);
  }
}
