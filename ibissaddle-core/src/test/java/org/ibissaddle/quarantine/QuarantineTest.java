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
        quarantine.recordCrash(crash(1), inFlight(POISON, INNOCENT), 1);
        assertThat(quarantine.status(POISON, 2)).isEqualTo(new QuarantineStatus.Isolated(1));
        assertThat(quarantine.status(INNOCENT, 2)).isEqualTo(new QuarantineStatus.Isolated(1));
        quarantine.recordCrash(crash(2), inFlight(POISON), 3);
        assertThat(quarantine.status(POISON, 4)).isInstanceOf(QuarantineStatus.Refused.class);
        assertThat(quarantine.status(INNOCENT, 4)).isEqualTo(new QuarantineStatus.NotQuarantined());
    }

    @Test
    void shouldRefuseAfterMaxCrashesRegardlessOfOtherRequests() {
        for (int i = 1; i <= 3; i++) {
            quarantine.recordCrash(crash(i), inFlight(POISON, new Fingerprint("n" + i)), i);
        }
        assertThat(quarantine.status(POISON, 4)).isInstanceOf(QuarantineStatus.Refused.class);
        assertThat(quarantine.status(new Fingerprint("n2"), 4)).isEqualTo(new QuarantineStatus.NotQuarantined());
    }

    @Test
    void shouldClearACompletedRequest() {
        quarantine.recordCrash(crash(1), inFlight(POISON, INNOCENT), 1);
        QuarantineUpdate update = quarantine.recordCompletion(INNOCENT, 2);
        assertThat(update.clearances()).hasSize(1);
        assertThat(quarantine.status(INNOCENT, 3)).isEqualTo(new QuarantineStatus.NotQuarantined());
        assertThat(quarantine.recordCompletion(INNOCENT, 4)).isEqualTo(QuarantineUpdate.NONE);
    }

    @Test
    void shouldCountACrashReportedByTwoInstancesOnce() {
        quarantine.recordCrash(crash(1), inFlight(POISON), 1);
        Quarantine other = create();
        quarantine.merge(other.recordCrash(crash(1), inFlight(POISON, INNOCENT), 2), 2);
        assertThat(quarantine.status(POISON, 3)).isEqualTo(new QuarantineStatus.Isolated(1));
    }

    @Test
    void shouldExpireMarks() {
        quarantine.recordCrash(crash(1), inFlight(POISON), 1);
        assertThat(quarantine.status(POISON, 1 + RETENTION_MS)).isEqualTo(new QuarantineStatus.NotQuarantined());
    }

    @Test
    void shouldKeepMarksOfBoundContentInItsRegion() {
        quarantine.recordCrash(crash(1), Map.of(POISON, Optional.of(HOME)), 1);
        assertThat(quarantine.shareableWith(HOME).marks()).hasSize(1);
        assertThat(quarantine.shareableWith(AWAY).marks()).isEmpty();
    }

    @Property(seed = "4713", tries = 500)
    void shouldConvergeForAnyOrderOfUpdates(@ForAll @LongRange(max = 1_000_000) long seed) {
        Random random = new Random(seed);
        List<QuarantineUpdate> updates = new ArrayList<>();
        Quarantine source = create();
        for (int i = 1; i <= 12; i++) {
            Fingerprint request = random.nextBoolean() ? POISON : INNOCENT;
            updates.add(
                    random.nextInt(4) == 0
                            ? source.recordCompletion(request, i)
                            : source.recordCrash(crash(i / 2), inFlight(request, new Fingerprint("n" + i % 3)), i));
        }
        Quarantine ordered = create();
        updates.forEach(update -> ordered.merge(update, 20));
        Quarantine shuffled = create();
        Collections.shuffle(updates, random);
        updates.forEach(update -> shuffled.merge(update, 20));
        shuffled.merge(updates.get(0), 20);
        for (Fingerprint request : List.of(POISON, INNOCENT, new Fingerprint("n0"), new Fingerprint("n1"))) {
            assertThat(shuffled.status(request, 21)).isEqualTo(ordered.status(request, 21));
        }
    }
}
