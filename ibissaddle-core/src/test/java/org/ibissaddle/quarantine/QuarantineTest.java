package org.ibissaddle.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.junit.jupiter.api.Test;

class QuarantineTest {
    private static final long RETENTION_MS = 1_000;
    private static final Fingerprint POISON = new Fingerprint("poison");
    private static final Fingerprint INNOCENT = new Fingerprint("innocent");
    private static final Region HOME = new Region("home");
    private static final Region AWAY = new Region("away");

    private final Quarantine quarantine = create();

    private static Quarantine create() {
        return new Quarantine(RETENTION_MS, 100, 3);
    }

    private static Crash crash(int number) {
        return new Crash(new ServerId("s" + number), "1");
    }

    private static Map<Fingerprint, Optional<Region>> inFlight(Fingerprint... requests) {
        Map<Fingerprint, Optional<Region>> regionsByRequest = new HashMap<>();
        for (Fingerprint request : requests) {
            regionsByRequest.put(request, Optional.empty());
        }
        return regionsByRequest;
    }

    @Test
    void shouldRefuseASoleSuspectAndClearTheOthers() {
        quarantine.crashed(crash(1), inFlight(POISON, INNOCENT), 1);
        assertThat(quarantine.standing(POISON, 2)).isEqualTo(new Standing.Apart(1));
        assertThat(quarantine.standing(INNOCENT, 2)).isEqualTo(new Standing.Apart(1));
        quarantine.crashed(crash(2), inFlight(POISON), 3);
        assertThat(quarantine.standing(POISON, 4)).isInstanceOf(Standing.Refused.class);
        assertThat(quarantine.standing(INNOCENT, 4)).isEqualTo(new Standing.Free());
    }

    @Test
    void shouldRefuseAfterMaxCrashesRegardlessOfOtherRequests() {
        for (int i = 1; i <= 3; i++) {
            quarantine.crashed(crash(i), inFlight(POISON, new Fingerprint("n" + i)), i);
        }
        assertThat(quarantine.standing(POISON, 4)).isInstanceOf(Standing.Refused.class);
        assertThat(quarantine.standing(new Fingerprint("n2"), 4)).isEqualTo(new Standing.Free());
    }

    @Test
    void shouldClearACompletedRequest() {
        quarantine.crashed(crash(1), inFlight(POISON, INNOCENT), 1);
        Suspicions update = quarantine.completed(INNOCENT, 2);
        assertThat(update.clearances()).hasSize(1);
        assertThat(quarantine.standing(INNOCENT, 3)).isEqualTo(new Standing.Free());
        assertThat(quarantine.completed(INNOCENT, 4)).isEqualTo(Suspicions.NONE);
    }

    @Test
    void shouldCountACrashReportedByTwoInstancesOnce() {
        quarantine.crashed(crash(1), inFlight(POISON), 1);
        Quarantine other = create();
        quarantine.merge(other.crashed(crash(1), inFlight(POISON, INNOCENT), 2), 2);
        assertThat(quarantine.standing(POISON, 3)).isEqualTo(new Standing.Apart(1));
    }

    @Test
    void shouldExpireMarks() {
        quarantine.crashed(crash(1), inFlight(POISON), 1);
        assertThat(quarantine.standing(POISON, 1 + RETENTION_MS)).isEqualTo(new Standing.Free());
    }

    @Test
    void shouldKeepMarksOfBoundContentInItsRegion() {
        quarantine.crashed(crash(1), Map.of(POISON, Optional.of(HOME)), 1);
        assertThat(quarantine.shareableWith(HOME).marks()).hasSize(1);
        assertThat(quarantine.shareableWith(AWAY).marks()).isEmpty();
    }

    @Property(seed = "4713", tries = 500)
    void shouldConvergeForAnyOrderOfUpdates(@ForAll @LongRange(max = 1_000_000) long seed) {
        Random random = new Random(seed);
        List<Suspicions> updates = new ArrayList<>();
        Quarantine source = create();
        for (int i = 1; i <= 12; i++) {
            Fingerprint request = random.nextBoolean() ? POISON : INNOCENT;
            updates.add(
                    random.nextInt(4) == 0
                            ? source.completed(request, i)
                            : source.crashed(crash(i / 2), inFlight(request, new Fingerprint("n" + i % 3)), i));
        }
        Quarantine ordered = create();
        updates.forEach(update -> ordered.merge(update, 20));
        Quarantine shuffled = create();
        Collections.shuffle(updates, random);
        updates.forEach(update -> shuffled.merge(update, 20));
        shuffled.merge(updates.get(0), 20);
        for (Fingerprint request : List.of(POISON, INNOCENT, new Fingerprint("n0"), new Fingerprint("n1"))) {
            assertThat(shuffled.standing(request, 21)).isEqualTo(ordered.standing(request, 21));
        }
    }
}
