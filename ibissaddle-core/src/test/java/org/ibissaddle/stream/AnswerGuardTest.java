package org.ibissaddle.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.ibissaddle.dispatch.RetryBudget;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.stream.Verdict.BreakReason;
import org.ibissaddle.stream.Verdict.DropReason;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AnswerGuardTest {
    private static final RequestId REQUEST = new RequestId("r");
    private static final String RESPONSE = "the whole answer of one request";

    private static Piece piece(int attempt, int from, int until) {
        return new Piece(new PieceId(REQUEST, attempt, from), RESPONSE.substring(from, until), false);
    }

    private static Piece end(int attempt) {
        return new Piece(new PieceId(REQUEST, attempt, RESPONSE.length()), "", true);
    }

    private final AnswerGuard guard = AnswerGuard.of(REQUEST, 100);

    @Nested
    class Checks {
        @Test
        void shouldRejectAChunkOfAnotherRequest() {
            Piece foreign = new Piece(new PieceId(new RequestId("q"), 0, 0), "x", false);
            assertThat(guard.accept(foreign)).isEqualTo(new Verdict.Broken(BreakReason.FOREIGN_REQUEST));
        }

        @Test
        void shouldDropChunksOfEarlierAttempts() {
            guard.accept(piece(0, 0, 4));
            guard.newAttempt(1);
            assertThat(guard.accept(piece(0, 4, 8))).isEqualTo(new Verdict.Drop(DropReason.LATE_ATTEMPT));
            assertThat(guard.accept(piece(1, 4, 8))).isEqualTo(new Verdict.Relay(RESPONSE.substring(4, 8)));
        }

        @Test
        void shouldDropDuplicatesAndTrimOverlaps() {
            guard.accept(piece(0, 0, 4));
            assertThat(guard.accept(piece(0, 0, 4))).isEqualTo(new Verdict.Drop(DropReason.DUPLICATE));
            assertThat(guard.accept(piece(0, 2, 6))).isEqualTo(new Verdict.Relay(RESPONSE.substring(4, 6)));
        }

        @Test
        void shouldRejectGapsAndUnknownAttempts() {
            assertThat(guard.accept(piece(0, 1, 4))).isEqualTo(new Verdict.Broken(BreakReason.GAP));
            assertThat(guard.accept(piece(1, 0, 4))).isEqualTo(new Verdict.Broken(BreakReason.UNKNOWN_ATTEMPT));
        }

        @Test
        void shouldDetectAMissingEnd() {
            guard.accept(piece(0, 0, 4));
            assertThat(guard.endMark()).contains(new Verdict.Broken(BreakReason.MISSING_END));
            assertThat(guard.accept(end(0))).isEqualTo(new Verdict.Broken(BreakReason.GAP));
            assertThat(guard.complete()).isFalse();
        }

        @Test
        void shouldRejectTextAfterTheEnd() {
            guard.accept(piece(0, 0, RESPONSE.length()));
            guard.accept(end(0));
            Piece more = new Piece(new PieceId(REQUEST, 0, RESPONSE.length()), "more", false);
            assertThat(guard.accept(more)).isEqualTo(new Verdict.Broken(BreakReason.TEXT_BEHIND_END));
        }
    }

    @Nested
    class Recovering {
        private final ServerId server = new ServerId("s");
        private final StreamRecovery recovery = new StreamRecovery(guard, 100, RetryBudget.of(0, 1));

        @Test
        void shouldResumeThenContinueOnAnotherServerThenFail() {
            guard.accept(piece(0, 0, 4));
            for (int i = 0; i < StreamRecovery.MAX_RESUMES_WITHOUT_PROGRESS; i++) {
                assertThat(recovery.afterCut(server, 0)).isEqualTo(new Recovery.Resume(server, 4));
            }
            Recovery afterLastResume = recovery.afterCut(server, 0);
            assertThat(afterLastResume).isEqualTo(new Recovery.Continue(1, Set.of(server), RESPONSE.substring(0, 4)));
            assertThat(recovery.afterLoss(server, 0)).isInstanceOf(Recovery.Fail.class);
        }

        @Test
        void shouldAllowResumesAtTheNextServerAfterALoss() {
            for (int i = 0; i <= StreamRecovery.MAX_RESUMES_WITHOUT_PROGRESS; i++) {
                recovery.afterCut(server, 0);
            }
            ServerId next = new ServerId("t");
            assertThat(recovery.afterCut(next, 0)).isEqualTo(new Recovery.Resume(next, 0));
        }

        @Test
        void shouldRestartWhenNothingWasRelayed() {
            assertThat(recovery.afterLoss(server, 0)).isInstanceOf(Recovery.Restart.class);
        }

        @Test
        void shouldFailAfterTheDeadlineOrWithoutTheRelayedText() {
            assertThat(recovery.afterCut(server, 100)).isInstanceOf(Recovery.Fail.class);
            AnswerGuard resumed = AnswerGuard.resumed(REQUEST, 0, 4);
            StreamRecovery withoutText = new StreamRecovery(resumed, 100, RetryBudget.of(0, 1));
            assertThat(withoutText.afterLoss(server, 0)).isInstanceOf(Recovery.Fail.class);
        }
    }

    @Provide
    Arbitrary<List<Piece>> pieces() {
        Arbitrary<Integer> offsets = Arbitraries.integers().between(0, RESPONSE.length());
        Arbitrary<Integer> attempts = Arbitraries.integers().between(0, 1);
        Arbitrary<Piece> chunks = Combinators.combine(attempts, offsets, offsets)
                .as((attempt, x, y) -> piece(attempt, Math.min(x, y), Math.max(x, y)));
        return Arbitraries.oneOf(chunks, attempts.map(AnswerGuardTest::end))
                .list()
                .ofMaxSize(40);
    }

    @Property(seed = "4712", tries = 5_000)
    void shouldRelayAPrefixOfTheResponseForAnyChunks(@ForAll("pieces") List<Piece> pieces) {
        AnswerGuard checkedGuard = AnswerGuard.of(REQUEST, 100);
        StringBuilder relayed = new StringBuilder();
        for (Piece piece : pieces) {
            if (checkedGuard.accept(piece) instanceof Verdict.Relay relay) {
                relayed.append(relay.text());
            }
            if (checkedGuard.relayed() == 8 && checkedGuard.attempt() == 0) {
                checkedGuard.newAttempt(1);
            }
        }
        assertThat(RESPONSE).startsWith(relayed);
        assertThat(checkedGuard.relayedText()).contains(relayed.toString());
        if (checkedGuard.endMark().isEmpty()) {
            assertThat(relayed).hasToString(RESPONSE);
        }
    }
}
