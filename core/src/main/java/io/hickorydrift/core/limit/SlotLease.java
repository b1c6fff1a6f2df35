package io.hickorydrift.core.limit;

import io.hickorydrift.core.message.SlotClaim;
import io.hickorydrift.core.message.SlotTable;
import java.util.ArrayList;
import java.util.List;

/**
 * Claims and renews one slot of a failure domain's table in the store.
 *
 * <p>Invariants: a slot has one holder in the table at any version; a holder counts its leases from
 * when it sent the renewal, a taker from when it saw the claim unchanged, and the taker waits
 * longer. A taker leaves the long part alone until the former holder's long lease must have ended.
 * No clock but the local monotonic one is used.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class SlotLease {
  /** Slot number while none is held. */
  public static final int NO_SLOT = -1;

  private static final SlotClaim FREE = new SlotClaim(null, 0, 0, 0);

  private record Seen(SlotClaim claim, long sinceNanos) {}

  private final String run;
  private final int slotCount;
  private final int fleetSlotCount;
  private final SlotLeaseSettings times;
  private final List<Seen> seen = new ArrayList<>();
  private int slot = NO_SLOT;
  private long epoch;
  private long claimedNanos;
  private LeasedFraction longPart = LeasedFraction.NONE;
  private LeasedFraction shortPart = LeasedFraction.NONE;
  private SlotTable proposal;
  private int proposedSlot = NO_SLOT;
  private long proposedNanos;

  /** A keeper for {@code run} in a domain with {@code slotCount} of the fleet's slots. */
  public SlotLease(String run, int slotCount, int fleetSlotCount, SlotLeaseSettings times) {
    this.run = run;
    this.slotCount = slotCount;
    this.fleetSlotCount = fleetSlotCount;
    this.times = times;
  }

  /** Returns the slot held, or {@link #NO_SLOT}. */
  public int slot() {
    return slot;
  }

  /** Returns what may be used of the fleet's limits. */
  public SlotShare share() {
    return new SlotShare(longPart, shortPart);
  }

  /**
   * Takes in the table as just read, null if there is none, and returns the table to write in its
   * place, or null if there is nothing to write.
   */
  public SlotTable propose(SlotTable table, long nowNanos) {
    List<SlotClaim> claims = padded(table);
    note(claims, nowNanos);
    settleUnknownProposal(claims);
    if (slot != NO_SLOT && !run.equals(claims.get(slot).holder())) {
      slot = NO_SLOT;
      shortPart = LeasedFraction.NONE;
    }
    int wanted = slot != NO_SLOT ? slot : freeSlot(claims, nowNanos);
    if (wanted == NO_SLOT) {
      return null;
    }
    SlotClaim current = claims.get(wanted);
    claims.set(wanted, slot == NO_SLOT ? claimed(current) : renewed(current, nowNanos));
    proposal = new SlotTable(claims);
    proposedSlot = wanted;
    proposedNanos = nowNanos;
    return proposal;
  }

  /** The proposal was written. */
  public void proposalWritten() {
    if (proposal != null) {
      hold(proposal.slots().get(proposedSlot));
    }
  }

  /** Another writer came first; propose again from a new read. */
  public void proposalConflicted() {
    proposal = null;
  }

  /** Returns the table that gives the slot back, to be written at a graceful stop, or null. */
  public SlotTable release(SlotTable table, long nowNanos) {
    List<SlotClaim> claims = padded(table);
    if (slot == NO_SLOT || !run.equals(claims.get(slot).holder())) {
      return null;
    }
    SlotClaim current = claims.get(slot);
    long free = longIsFree(current) ? epoch : current.longFreeEpoch();
    claims.set(slot, new SlotClaim(null, epoch, current.beat() + 1, free));
    slot = NO_SLOT;
    longPart = LeasedFraction.NONE;
    shortPart = LeasedFraction.NONE;
    return new SlotTable(claims);
  }

  private void hold(SlotClaim claim) {
    if (slot == NO_SLOT) {
      claimedNanos = proposedNanos;
    }
    slot = proposedSlot;
    epoch = claim.epoch();
    double fraction = 1.0 / fleetSlotCount;
    shortPart =
        new LeasedFraction(
            fraction * (1 - times.longLeaseFraction()), proposedNanos + times.shortLeaseNanos());
    if (longIsFree(claim)) {
      longPart =
          new LeasedFraction(
              fraction * times.longLeaseFraction(), proposedNanos + times.longLeaseNanos());
    }
    proposal = null;
  }

  private boolean longIsFree(SlotClaim claim) {
    return claim.longFreeEpoch() >= claim.epoch() - 1;
  }

  private SlotClaim claimed(SlotClaim current) {
    return new SlotClaim(run, current.epoch() + 1, current.beat() + 1, current.longFreeEpoch());
  }

  private SlotClaim renewed(SlotClaim current, long nowNanos) {
    boolean waitedOut =
        nowNanos - claimedNanos > times.longLeaseNanos() + times.takeoverMarginNanos();
    long free = waitedOut ? Math.max(current.longFreeEpoch(), epoch - 1) : current.longFreeEpoch();
    return new SlotClaim(run, epoch, current.beat() + 1, free);
  }

  private void settleUnknownProposal(List<SlotClaim> claims) {
    if (proposal != null && claims.get(proposedSlot).equals(proposal.slots().get(proposedSlot))) {
      hold(claims.get(proposedSlot));
    }
    proposal = null;
  }

  private int freeSlot(List<SlotClaim> claims, long nowNanos) {
    for (int i = 0; i < slotCount; i++) {
      if (claims.get(i).holder() == null) {
        return i;
      }
    }
    for (int i = 0; i < slotCount; i++) {
      long unchangedNanos = nowNanos - seen.get(i).sinceNanos;
      if (unchangedNanos > times.shortLeaseNanos() + times.takeoverMarginNanos()) {
        return i;
      }
    }
    return NO_SLOT;
  }

  private void note(List<SlotClaim> claims, long nowNanos) {
    for (int i = 0; i < claims.size(); i++) {
      Seen current = new Seen(claims.get(i), nowNanos);
      if (i >= seen.size()) {
        seen.add(current);
      } else if (!seen.get(i).claim.equals(claims.get(i))) {
        seen.set(i, current);
      }
    }
  }

  private List<SlotClaim> padded(SlotTable table) {
    List<SlotClaim> claims = new ArrayList<>(table == null ? List.of() : table.slots());
    while (claims.size() < slotCount) {
      claims.add(FREE);
    }
    return claims;
  }
}
