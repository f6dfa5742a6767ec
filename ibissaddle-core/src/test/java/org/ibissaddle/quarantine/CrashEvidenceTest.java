package org.ibissaddle.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.ibissaddle.id.ServerId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against taking lost connections for crashes, and against crashes that are never recognised. */
class CrashEvidenceTest {
    private static final ServerId SERVER = new ServerId("s1");
    private static final ServerId OTHER = new ServerId("s2");

    private final CrashEvidence evidence = new CrashEvidence();

    private static CrashEvidence.Loss loss(ServerId server, String content, long lostMs) {
        return new CrashEvidence.Loss(new Crash(server, "1"), List.of(), content, Set.of(), lostMs);
    }

    @Nested
    class Proofs {
        @Test
        void shouldCountTheLossesBeforeAServerIsUnreachable() {
            CrashEvidence.Loss first = loss(SERVER, "a", 1_000);
            CrashEvidence.Loss second = loss(SERVER, "b", 1_200);
            evidence.recordLoss(first);
            evidence.recordLoss(loss(OTHER, "a", 1_100));
            evidence.recordLoss(second);

            assertThat(evidence.serverUnreachable(SERVER, 1_250)).containsExactly(first, second);
            assertThat(evidence.serverUnreachable(SERVER, 1_500)).isEmpty();
        }

        /** Guards against blaming a request for a server that becomes unreachable long after it. */
        @Test
        void shouldNotCountALossLongBeforeAServerIsUnreachable() {
            evidence.recordLoss(loss(SERVER, "a", 1_000));

            assertThat(evidence.awaitsCheck(SERVER, 2_500)).isTrue();
            assertThat(evidence.awaitsCheck(SERVER, 2_501)).isFalse();
            assertThat(evidence.serverUnreachable(SERVER, 2_501)).isEmpty();
        }

        /** Guards against a server that restarts so fast that it answers the health checks. */
        @Test
        void shouldCountTheLossesBeforeARestart() {
            CrashEvidence.Loss lost = loss(SERVER, "a", 1_000);
            evidence.recordLoss(lost);

            assertThat(evidence.serverUnreachable(SERVER, 4_000)).isEmpty();
            assertThat(evidence.serverRestarted(OTHER, 5_000)).isEmpty();
            assertThat(evidence.serverRestarted(SERVER, 6_000)).containsExactly(lost);
        }

        @Test
        void shouldForgetALossWithoutProof() {
            evidence.recordLoss(loss(SERVER, "a", 1_000));

            assertThat(evidence.isEmpty(6_000)).isFalse();
            assertThat(evidence.serverRestarted(SERVER, 6_001)).isEmpty();
            assertThat(evidence.isEmpty(6_001)).isTrue();
        }

        @Test
        void shouldLimitTheNumberOfLosses() {
            for (int i = 0; i < 10_000; i++) {
                evidence.recordLoss(loss(SERVER, "a" + i, 1_000));
            }

            assertThat(evidence.serverUnreachable(SERVER, 1_000)).hasSize(4_096);
        }
    }

    @Nested
    class Completions {
        private final CrashQuarantine quarantine = CrashQuarantine.forRequests();

        /** Guards against marking a content that another server has completed before the crash was proven. */
        @Test
        void shouldNotMarkAContentThatCompletedInTheMeantime() {
            quarantine.recordCompletion(List.of("a"), 1_100);
            quarantine.recordCrash(new Crash(SERVER, "1"), List.of("a"), Set.of(), 1_000, 1_250);

            assertThat(quarantine.isMarked("a", 1_250)).isFalse();
        }

        /** Guards against a mark that arrives after the report of a later completion and would stay. */
        @Test
        void shouldNotMarkAContentThatCompletedAtAnotherInstanceSinceTheCrash() {
            quarantine.merge(new CrashUpdate(List.of(), List.of(new CrashUpdate.Proof("a", Set.of(), 100))), 2_000);
            CrashUpdate.Mark earlier = new CrashUpdate.Mark("a", new Crash(SERVER, "1"), Set.of(), 700);
            CrashUpdate.Mark later = new CrashUpdate.Mark("a", new Crash(OTHER, "1"), Set.of(), 550);

            quarantine.merge(new CrashUpdate(List.of(earlier), List.of()), 2_500);
            assertThat(quarantine.isMarked("a", 2_500)).isFalse();

            quarantine.merge(new CrashUpdate(List.of(later), List.of()), 2_500);
            assertThat(quarantine.isMarked("a", 2_500)).isTrue();
        }
    }

    /** Guards against refusing harmless contents when connections are reset, and against sending on crashing ones. */
    @Property(tries = 100, seed = "25")
    void shouldRefuseOnlyTheCrashingContent(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        Load load = new Load();
        load.run(new Random(seed));

        assertThat(load.soundRefused).isZero();
        assertThat(load.badSentMs.size()).isGreaterThanOrEqualTo(3);
        long boundStartMs = load.badSentMs.get(2) + 6_000;
        assertThat(load.badSentMs).filteredOn(sentMs -> sentMs > boundStartMs).hasSizeLessThanOrEqualTo(3);
    }

    /** Servers lose connections at random while popular contents complete and one content crashes every server. */
    private static final class Load {
        private static final int SERVERS = 12;
        private static final int CONTENTS = 30;
        private static final long STEP_MS = 20;
        private static final long CHECK_MS = 60;
        private static final long DURATION_MS = 20_000;
        /** Until then most responses are lost to connection resets, milliseconds. */
        private static final long RESETS_END_MS = 4_000;

        private static final String BAD = "bad";

        private final CrashQuarantine quarantine = CrashQuarantine.forRequests();
        private final long[] downUntilMs = new long[SERVERS];
        private final long[] checkMs = new long[SERVERS];
        private final List<Long> badSentMs = new ArrayList<>();
        private int soundRefused;

        private void run(Random random) {
            CrashEvidence losses = new CrashEvidence();
            for (long nowMs = STEP_MS; nowMs < DURATION_MS; nowMs += STEP_MS) {
                for (int server = 0; server < SERVERS; server++) {
                    if (checkMs[server] == nowMs && downUntilMs[server] > nowMs) {
                        confirm(losses.serverUnreachable(new ServerId("s" + server), nowMs), nowMs);
                    }
                }
                send(losses, "sound" + random.nextInt(CONTENTS), random, nowMs);
                if (random.nextInt(10) == 0) {
                    send(losses, BAD, random, nowMs);
                }
            }
        }

        private void send(CrashEvidence losses, String content, Random random, long nowMs) {
            int server = random.nextInt(SERVERS);
            if (downUntilMs[server] > nowMs) {
                return;
            }
            if (quarantine.check(List.of(content), key -> false, nowMs).isPresent()) {
                soundRefused += content.equals(BAD) ? 0 : 1;
                return;
            }
            boolean crashes = content.equals(BAD);
            boolean lost = random.nextInt(20) < (nowMs < RESETS_END_MS ? 18 : 1);
            if (!crashes && !lost) {
                quarantine.recordCompletion(List.of(content), nowMs);
                return;
            }
            losses.recordLoss(new CrashEvidence.Loss(
                    new Crash(new ServerId("s" + server), Long.toString(downUntilMs[server])),
                    List.of(),
                    content,
                    Set.of(),
                    nowMs));
            checkMs[server] = nowMs + CHECK_MS;
            if (crashes) {
                badSentMs.add(nowMs);
                downUntilMs[server] = nowMs + 1_000;
            }
        }

        private void confirm(List<CrashEvidence.Loss> proven, long nowMs) {
            for (CrashEvidence.Loss loss : proven) {
                quarantine.recordCrash(loss.crash(), List.of(loss.fingerprint()), loss.homes(), loss.lostMs(), nowMs);
            }
        }
    }
}
