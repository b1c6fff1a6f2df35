package io.hickorydrift.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.declaration.Consistency;
import io.hickorydrift.core.declaration.Declaration;
import io.hickorydrift.core.declaration.DeclaredOrganisation;
import io.hickorydrift.core.declaration.Route;
import io.hickorydrift.core.limit.RateLimit;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** Guards against statements that leave the regions that their route and organisation allow. */
class AllowedRegionsTest {
  private static final String[] REGIONS = {"north", "south", "west"};

  @Provide
  Arbitrary<Set<String>> declared() {
    return Arbitraries.of(REGIONS).set();
  }

  @Provide
  Arbitrary<String> region() {
    return Arbitraries.of(REGIONS);
  }

  @Property(tries = 500, seed = "20261204")
  void regionIsAllowedIfRouteAndOrganisationBothAllowIt(
      @ForAll("declared") Set<String> ofRoute,
      @ForAll("declared") Set<String> ofOrganisation,
      @ForAll("region") String region,
      @ForAll("region") String entryRegion) {
    AllowedRegions allowed = AllowedRegions.of(ofRoute, ofOrganisation);
    boolean byRoute = ofRoute.isEmpty() || ofRoute.contains(region);
    boolean byOrganisation = ofOrganisation.isEmpty() || ofOrganisation.contains(region);
    assertThat(allowed.allowsTarget(region)).isEqualTo(byRoute && byOrganisation);
    assertThat(allowed.allowsText(region, entryRegion))
        .isEqualTo(byRoute && byOrganisation || region.equals(entryRegion));
  }

  @Test
  void disjointRestrictionsAllowNothing() {
    AllowedRegions allowed = AllowedRegions.of(Set.of("north"), Set.of("south"));
    assertThat(allowed.restricted()).isTrue();
    for (String region : REGIONS) {
      assertThat(allowed.allowsTarget(region)).isFalse();
    }
  }

  @Test
  void withoutRestrictionAllIsAllowed() {
    AllowedRegions allowed = AllowedRegions.of(Set.of(), Set.of());
    assertThat(allowed).isEqualTo(AllowedRegions.ALL);
    assertThat(allowed.allowsTarget("north")).isTrue();
    assertThat(allowed.allowsText("", "south")).isTrue();
  }

  @Test
  void domainsWithoutRegionAreNotAllowedByName() {
    AllowedRegions allowed = AllowedRegions.of(Set.of("north"), Set.of());
    assertThat(allowed.allowsTarget(Regions.NONE.regionOf("zone-0"))).isFalse();
  }

  @Test
  void unknownRegionsAreReportedOnce() {
    UnknownRegions unknown = new UnknownRegions(new Regions(Map.of("zone-0", "north")));
    Declaration declaration = declaration(Set.of("north", "nroth"), Set.of("sowth"));
    assertThat(unknown.newIn(declaration)).containsExactly("nroth", "sowth");
    assertThat(unknown.newIn(declaration)).isEmpty();
  }

  private static Declaration declaration(Set<String> ofRoute, Set<String> ofOrganisation) {
    Route route = new Route("db", "g", Consistency.PRIMARY, 800, 250, 1, 0, false, ofRoute);
    DeclaredOrganisation organisation =
        new DeclaredOrganisation("red", 1, new RateLimit(1, 1), ofOrganisation);
    return new Declaration(
        1, Map.of("db", route), Map.of(), Map.of("red", organisation), Map.of(), 0);
  }
}
