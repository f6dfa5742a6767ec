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
import org.ibissaddle.stream.ChunkDecision.DropReason;
import org.ibissaddle.stream.ChunkDecision.ViolationReason;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ResponseSequencerTest {
    private static final RequestId REQUEST = new RequestId("r");
    private static final String RESPONSE = "the whole answer of one request";

    private static ResponseChunk chunk(int attempt, int from, int until) {
        return new ResponseChunk(new ChunkPosition(REQUEST, attempt, from), RESPONSE.substring(from, until), false);
    }

    private static ResponseChunk end(int attempt) {
        return new ResponseChunk(new ChunkPosition(REQUEST, attempt, RESPONSE.length()), "", true);
    }

    private final ResponseSequencer sequencer = ResponseSequencer.of(REQUEST, 100);

    @Nested
    class Checks {
        @Test
        void shouldRejectAChunkOfAnotherRequest() {
            ResponseChunk foreign = new ResponseChunk(new ChunkPosition(new RequestId("q"), 0, 0), "x", false);
            assertThat(sequencer.accept(foreign))
                    .isEqualTo(new ChunkDecision.Violation(ViolationReason.FOREIGN_REQUEST));
        }

        @Test
        void shouldDropChunksOfEarlierAttempts() {
            sequencer.accept(chunk(0, 0, 4));
            sequencer.newAttempt(1);
            assertThat(sequencer.accept(chunk(0, 4, 8))).isEqualTo(new ChunkDecision.Drop(DropReason.LATE_ATTEMPT));
            assertThat(sequencer.accept(chunk(1, 4, 8))).isEqualTo(new ChunkDecision.Relay(RESPONSE.substring(4, 8)));
        }

        @Test
        void shouldDropDuplicatesAndTrimOverlaps() {
            sequencer.accept(chunk(0, 0, 4));
            assertThat(sequencer.accept(chunk(0, 0, 4))).isEqualTo(new ChunkDecision.Drop(DropReason.DUPLICATE));
            assertThat(sequencer.accept(chunk(0, 2, 6))).isEqualTo(new ChunkDecision.Relay(RESPONSE.substring(4, 6)));
        }

        @Test
        void shouldRejectGapsAndUnknownAttempts() {
            assertThat(sequencer.accept(chunk(0, 1, 4))).isEqualTo(new ChunkDecision.Violation(ViolationReason.GAP));
            assertThat(sequencer.accept(chunk(1, 0, 4)))
                    .isEqualTo(new ChunkDecision.Violation(ViolationReason.UNKNOWN_ATTEMPT));
        }

        @Test
        void shouldDetectAMissingEnd() {
            sequencer.accept(chunk(0, 0, 4));
            assertThat(sequencer.endOfStream()).contains(new ChunkDecision.Violation(ViolationReason.MISSING_END));
            assertThat(sequencer.accept(end(0))).isEqualTo(new ChunkDecision.Violation(ViolationReason.GAP));
            assertThat(sequencer.isComplete()).isFalse();
        }

        @Test
        void shouldRejectTextAfterTheEnd() {
            sequencer.accept(chunk(0, 0, RESPONSE.length()));
            sequencer.accept(end(0));
            ResponseChunk more = new ResponseChunk(new ChunkPosition(REQUEST, 0, RESPONSE.length()), "more", false);
            assertThat(sequencer.accept(more)).isEqualTo(new ChunkDecision.Violation(ViolationReason.TEXT_BEHIND_END));
        }
    }

    @Nested
    class Recovering {
        private final ServerId server = new ServerId("s");
        private final StreamRecovery recovery = new StreamRecovery(sequencer, 100, RetryBudget.of(0, 1));

        @Test
        void shouldResumeThenContinueOnAnotherServerThenFail() {
            sequencer.accept(chunk(0, 0, 4));
            for (int i = 0; i < StreamRecovery.MAX_RESUMES_WITHOUT_PROGRESS; i++) {
                assertThat(recovery.onConnectionLost(server, 0)).isEqualTo(new RecoveryAction.Resume(server, 4));
            }
            RecoveryAction afterLastResume = recovery.onConnectionLost(server, 0);
            assertThat(afterLastResume)
                    .isEqualTo(new RecoveryAction.Continue(1, Set.of(server), RESPONSE.substring(0, 4)));
            assertThat(recovery.onServerLost(server, 0)).isInstanceOf(RecoveryAction.Fail.class);
        }

        @Test
        void shouldAllowResumesAtTheNextServerAfterALoss() {
            for (int i = 0; i <= StreamRecovery.MAX_RESUMES_WITHOUT_PROGRESS; i++) {
                recovery.onConnectionLost(server, 0);
            }
            ServerId next = new ServerId("t");
            assertThat(recovery.onConnectionLost(next, 0)).isEqualTo(new RecoveryAction.Resume(next, 0));
        }

        @Test
        void shouldRestartWhenNothingWasRelayed() {
            assertThat(recovery.onServerLost(server, 0)).isInstanceOf(RecoveryAction.Restart.class);
        }

        @Test
        void shouldFailAfterTheDeadlineOrWithoutTheRelayedText() {
            assertThat(recovery.onConnectionLost(server, 100)).isInstanceOf(RecoveryAction.Fail.class);
            ResponseSequencer resumed = ResponseSequencer.resumed(REQUEST, 0, 4);
            StreamRecovery withoutText = new StreamRecovery(resumed, 100, RetryBudget.of(0, 1));
            assertThat(withoutText.onServerLost(server, 0)).isInstanceOf(RecoveryAction.Fail.class);
        }
    }

    @Provide
    Arbitrary<List<ResponseChunk>> chunks() {
        Arbitrary<Integer> offsets = Arbitraries.integers().between(0, RESPONSE.length());
        Arbitrary<Integer> attempts = Arbitraries.integers().between(0, 1);
        Arbitrary<ResponseChunk> chunks = Combinators.combine(attempts, offsets, offsets)
                .as((attempt, x, y) -> chunk(attempt, Math.min(x, y), Math.max(x, y)));
        return Arbitraries.oneOf(chunks, attempts.map(ResponseSequencerTest::end))
                .list()
                .ofMaxSize(40);
    }

    @Property(seed = "4712", tries = 5_000)
    void shouldRelayAPrefixOfTheResponseForAnyChunks(@ForAll("chunks") List<ResponseChunk> chunks) {
        ResponseSequencer checkedSequencer = ResponseSequencer.of(REQUEST, 100);
        StringBuilder relayed = new StringBuilder();
        for (ResponseChunk chunk : chunks) {
            if (checkedSequencer.accept(chunk) instanceof ChunkDecision.Relay relay) {
                relayed.append(relay.text());
            }
            if (checkedSequencer.relayedChars() == 8 && checkedSequencer.attempt() == 0) {
                checkedSequencer.newAttempt(1);
            }
        }
        assertThat(RESPONSE).startsWith(relayed);
        assertThat(checkedSequencer.relayedText()).contains(relayed.toString());
        if (checkedSequencer.endOfStream().isEmpty()) {
            assertThat(relayed).hasToString(RESPONSE);
        }
    }
}
