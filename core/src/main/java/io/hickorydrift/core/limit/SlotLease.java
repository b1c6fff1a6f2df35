package io.hickorydrift.core.limit;

import io.hickorydrift.core.message.SlotClaim;
import io.hickorydrift.core.message.SlotTable;
import java.util.ArrayList;
import java.util.List;

/**
 * Claims and renews one slot of a failure domain's table in the store.
 *
 * <p>Invariants: in every version of the table a slot has one holder. A holder measures its leases
 * from when it sent the renewal; an instance that takes the slot over measures them from when it
 * first observed the unchanged claim, and waits longer. It does not use the long lease until the
 * long lease of the previous holder must have expired. Only the local monotonic clock is used.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class SlotLease {
  /** Slot number if no slot is held. */
  public static final int NO_SLOT = -1;

  private static final SlotClaim FREE = new SlotClaim(null, 0, 0, 0);

  private record ObservedClaim(SlotClaim claim, long sinceNanos) {}

  private final String runId;
  private final int slotCount;
  private final int fleetSlotCount;
  private final SlotLeaseSettings settings;
  private final List<ObservedClaim> observed = new ArrayList<>();
  private int slot = NO_SLOT;
  private long epoch;
  private long claimedNanos;
  private LeasedFraction longLease = LeasedFraction.NONE;
  private LeasedFraction shortLease = LeasedFraction.NONE;
  private SlotTable proposal;
  private int proposedSlot = NO_SLOT;
  private long proposedNanos;

  /** Creates a lease for {@code runId} in a domain with {@code slotCount} of the fleet's slots. */
  public SlotLease(String runId, int slotCount, int fleetSlotCount, SlotLeaseSettings settings) {
    this.runId = runId;
    this.slotCount = slotCount;
    this.fleetSlotCount = fleetSlotCount;
    this.settings = settings;
  }

  /** Returns the slot held, or {@link #NO_SLOT}. */
  public int slot() {
    return slot;
  }

  /** Returns this instance's share of the fleet's limits. */
  public SlotShare share() {
    return new SlotShare(longLease, shortLease);
  }

  /**
   * Processes the table as last read, null if there is none, and returns the table to write in its
   * place, or null if there is nothing to write.
   */
  public SlotTable propose(SlotTable table, long nowNanos) {
    List<SlotClaim> claims = paddedClaims(table);
    observe(claims, nowNanos);
    resolveUnconfirmedProposal(claims);
    if (slot != NO_SLOT && !runId.equals(claims.get(slot).holder())) {
      slot = NO_SLOT;
      shortLease = LeasedFraction.NONE;
    }
    int targetSlot = slot != NO_SLOT ? slot : findFreeSlot(claims, nowNanos);
    if (targetSlot == NO_SLOT) {
      return null;
    }
    SlotClaim current = claims.get(targetSlot);
    claims.set(targetSlot, slot == NO_SLOT ? newClaim(current) : renewedClaim(current, nowNanos));
    proposal = new SlotTable(claims);
    proposedSlot = targetSlot;
    proposedNanos = nowNanos;
    return proposal;
  }

  /** Records that the proposed table was written. */
  public void proposalWritten() {
    if (proposal != null) {
      recordHeldSlot(proposal.slots().get(proposedSlot));
    }
  }

  /** Discards the proposal after a write conflict; the table must be read and proposed again. */
  public void proposalConflicted() {
    proposal = null;
  }

  /**
   * Releases the slot at a graceful shutdown: returns the table to write, or null if none is held.
   */
  public SlotTable release(SlotTable table, long nowNanos) {
    List<SlotClaim> claims = paddedClaims(table);
    if (slot == NO_SLOT || !runId.equals(claims.get(slot).holder())) {
      return null;
    }
    SlotClaim current = claims.get(slot);
    long longFreeEpoch = longLeaseIsFree(current) ? epoch : current.longFreeEpoch();
    claims.set(slot, new SlotClaim(null, epoch, current.beat() + 1, longFreeEpoch));
    slot = NO_SLOT;
    longLease = LeasedFraction.NONE;
    shortLease = LeasedFraction.NONE;
    return new SlotTable(claims);
  }

  private void recordHeldSlot(SlotClaim claim) {
    if (slot == NO_SLOT) {
      claimedNanos = proposedNanos;
    }
    slot = proposedSlot;
    epoch = claim.epoch();
    double fraction = 1.0 / fleetSlotCount;
    shortLease =
        new LeasedFraction(
            fraction * (1 - settings.longLeaseFraction()),
            proposedNanos + settings.shortLeaseNanos());
    if (longLeaseIsFree(claim)) {
      longLease =
          new LeasedFraction(
              fraction * settings.longLeaseFraction(), proposedNanos + settings.longLeaseNanos());
    }
    proposal = null;
  }

  private boolean longLeaseIsFree(SlotClaim claim) {
    return claim.longFreeEpoch() >= claim.epoch() - 1;
  }

  private SlotClaim newClaim(SlotClaim current) {
    return new SlotClaim(runId, current.epoch() + 1, current.beat() + 1, current.longFreeEpoch());
  }

  private SlotClaim renewedClaim(SlotClaim current, long nowNanos) {
    boolean previousLongLeaseExpired =
        nowNanos - claimedNanos > settings.longLeaseNanos() + settings.takeoverMarginNanos();
    long longFreeEpoch =
        previousLongLeaseExpired
            ? Math.max(current.longFreeEpoch(), epoch - 1)
            : current.longFreeEpoch();
    return new SlotClaim(runId, epoch, current.beat() + 1, longFreeEpoch);
  }

  private void resolveUnconfirmedProposal(List<SlotClaim> claims) {
    if (proposal != null && claims.get(proposedSlot).equals(proposal.slots().get(proposedSlot))) {
      recordHeldSlot(claims.get(proposedSlot));
    }
    proposal = null;
  }

  private int findFreeSlot(List<SlotClaim> claims, long nowNanos) {
    for (int i = 0; i < slotCount; i++) {
      if (claims.get(i).holder() == null) {
        return i;
      }
    }
    for (int i = 0; i < slotCount; i++) {
      long unchangedNanos = nowNanos - observed.get(i).sinceNanos;
      if (unchangedNanos > settings.shortLeaseNanos() + settings.takeoverMarginNanos()) {
        return i;
      }
    }
    return NO_SLOT;
  }

  private void observe(List<SlotClaim> claims, long nowNanos) {
    for (int i = 0; i < claims.size(); i++) {
      ObservedClaim current = new ObservedClaim(claims.get(i), nowNanos);
      if (i >= observed.size()) {
        observed.add(current);
      } else if (!observed.get(i).claim.equals(claims.get(i))) {
        observed.set(i, current);
      }
    }
  }

  private List<SlotClaim> paddedClaims(SlotTable table) {
    List<SlotClaim> claims = new ArrayList<>(table == null ? List.of() : table.slots());
    while (claims.size() < slotCount) {
      claims.add(FREE);
    }
    return claims;
  }
}
