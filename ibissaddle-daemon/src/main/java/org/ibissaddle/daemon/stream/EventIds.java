package org.ibissaddle.daemon.stream;

import java.util.Optional;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.placement.Work;
import org.ibissaddle.stream.AnswerGuard;
import org.ibissaddle.stream.PieceId;
import org.ibissaddle.stream.StreamToken;
import org.ibissaddle.stream.StreamTokens;
import org.ibissaddle.ticket.TicketException;

/** Identifiers of the events of one answer: positions from engines, stream tokens from instances and to callers. */
final class EventIds {
    private EventIds() {}

    /** Identifiers of an engine; the caller gets tokens that name it. */
    static EventRelay.Ids ofEngine(InstanceId self, Target engine, Work work, AnswerGuard guard, StreamTokens tokens) {
        return new EventRelay.Ids() {
            @Override
            public Optional<PieceId> read(String id, int length) {
                return PieceId.parse(id);
            }

            @Override
            public String write(String id) {
                return tokens.write(new StreamToken(
                        self,
                        engine.id(),
                        work.request(),
                        guard.attempt(),
                        guard.relayed(),
                        work.workspace().id(),
                        work.deadlineMs()));
            }
        };
    }

    /** Tokens of another instance; the caller gets them as they are. */
    static EventRelay.Ids ofPeer(AnswerGuard guard, Work work, StreamTokens tokens) {
        return new EventRelay.Ids() {
            @Override
            public Optional<PieceId> read(String id, int length) {
                try {
                    StreamToken token = tokens.read(id == null ? "" : id);
                    boolean own = token.request().equals(work.request());
                    return own
                            ? Optional.of(new PieceId(token.request(), guard.attempt(), token.offset() - length))
                            : Optional.empty();
                } catch (TicketException e) {
                    return Optional.empty();
                }
            }

            @Override
            public String write(String id) {
                return id;
            }
        };
    }
}
