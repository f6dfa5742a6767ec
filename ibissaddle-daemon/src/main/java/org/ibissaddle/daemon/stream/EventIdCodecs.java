package org.ibissaddle.daemon.stream;

import java.util.Optional;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.placement.PlacementRequest;
import org.ibissaddle.stream.ChunkPosition;
import org.ibissaddle.stream.ResponseSequencer;
import org.ibissaddle.stream.StreamToken;
import org.ibissaddle.stream.StreamTokenCodec;
import org.ibissaddle.ticket.TicketException;

/**
 * Event ID codecs of one response. Engines send positions, whereas other instances send stream tokens. Callers always
 * receive stream tokens.
 */
final class EventIdCodecs {
    private EventIdCodecs() {}

    /** Decodes the positions that an engine sends and encodes stream tokens that identify this engine. */
    static EventRelay.EventIdCodec forEngine(
            InstanceId self,
            Target engine,
            PlacementRequest placementRequest,
            ResponseSequencer sequencer,
            StreamTokenCodec tokens) {
        return new EventRelay.EventIdCodec() {
            @Override
            public Optional<ChunkPosition> decode(String id, int length) {
                return ChunkPosition.parse(id);
            }

            @Override
            public String encode(String id) {
                return tokens.write(new StreamToken(
                        self,
                        engine.id(),
                        placementRequest.request(),
                        sequencer.attempt(),
                        sequencer.relayedChars(),
                        placementRequest.workspace().id(),
                        placementRequest.deadlineMs()));
            }
        };
    }

    /** Decodes the stream tokens that another instance sends and relays them unchanged. */
    static EventRelay.EventIdCodec forPeer(
            ResponseSequencer sequencer, PlacementRequest placementRequest, StreamTokenCodec tokens) {
        return new EventRelay.EventIdCodec() {
            @Override
            public Optional<ChunkPosition> decode(String id, int length) {
                try {
                    StreamToken token = tokens.read(id == null ? "" : id);
                    boolean sameRequest = token.request().equals(placementRequest.request());
                    return sameRequest
                            ? Optional.of(
                                    new ChunkPosition(token.request(), sequencer.attempt(), token.offset() - length))
                            : Optional.empty();
                } catch (TicketException e) {
                    return Optional.empty();
                }
            }

            @Override
            public String encode(String id) {
                return id;
            }
        };
    }
}
