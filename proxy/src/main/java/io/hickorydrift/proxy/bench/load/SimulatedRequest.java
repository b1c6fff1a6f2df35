package io.hickorydrift.proxy.bench.load;

/** A caller's request in the simulation. Thread safety: confined to one thread. */
final class SimulatedRequest {
  final RequestClass requestClass;
  final String organisation;
  final double firstAttemptMs;
  int attempts;

  SimulatedRequest(RequestClass kind, String organisation, double firstMs) {
    this.requestClass = kind;
    this.organisation = organisation;
    this.firstAttemptMs = firstMs;
  }

  double deadlineMs() {
    return firstAttemptMs + requestClass.deadlineMs();
  }
}
