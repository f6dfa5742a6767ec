package org.ibissaddle.daemon.stream;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import okhttp3.Response;
import okhttp3.sse.EventSource;
import okhttp3.sse.EventSourceListener;
import okhttp3.sse.EventSources;
import org.ibissaddle.daemon.caller.ClientResponseWriter;
import org.ibissaddle.stream.ChunkDecision;
import org.ibissaddle.stream.ChunkPosition;
import org.ibissaddle.stream.ResponseChunk;
import org.ibissaddle.stream.ResponseSequencer;

/** Relays the events of one connection to the caller if the {@link ResponseSequencer} accepts them. */
final class EventRelay extends EventSourceListener {
    /** How a connection ended. */
    enum ConnectionEnd {
        /** After the end-of-stream marker of a complete response. */
        COMPLETE,
        /** Before the end-of-stream marker, or because a chunk was rejected. */
        CUT,
        /** By a read timeout. */
        SILENT
    }

    /** Decodes the IDs of received events and encodes the IDs of relayed events. */
    interface EventIdCodec {
        /** Decodes the position of a chunk whose text has {@code length} characters; empty if the ID is invalid. */
        Optional<ChunkPosition> decode(String id, int length);

        /** Returns the event ID that is sent to the caller. */
        String encode(String id);
    }

    private final ResponseSequencer sequencer;
    private final EventIdCodec idCodec;
    private final ClientResponseWriter reply;
    private final Runnable onRelayed;
    private ConnectionEnd end = ConnectionEnd.CUT;
    private Optional<IOException> callerFailure = Optional.empty();
    private Optional<String> lastEventId = Optional.empty();

    EventRelay(ResponseSequencer sequencer, EventIdCodec idCodec, ClientResponseWriter reply, Runnable onRelayed) {
        this.sequencer = sequencer;
        this.idCodec = idCodec;
        this.reply = reply;
        this.onRelayed = onRelayed;
    }

    /** Relays events until the connection ends. */
    ConnectionEnd relay(Response response) throws IOException {
        try (response) {
            EventSources.processResponse(response, this);
        }
        if (callerFailure.isPresent()) {
            throw callerFailure.get();
        }
        return sequencer.isComplete() ? ConnectionEnd.COMPLETE : end;
    }

    /** Returns the ID of the last event that was relayed. */
    Optional<String> lastEventId() {
        return lastEventId;
    }

    @Override
    public void onEvent(EventSource source, String id, String type, String data) {
        if (sequencer.isComplete() || callerFailure.isPresent()) {
            return;
        }
        try {
            if (!handle(id, data)) {
                source.cancel();
            }
        } catch (IOException e) {
            callerFailure = Optional.of(e);
            source.cancel();
        }
    }

    private boolean handle(String id, String data) throws IOException {
        if (data.equals(CompletionChunk.DONE_MARKER)) {
            if (sequencer.endOfStream().isPresent()) {
                return false;
            }
            reply.sendChunk(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
            return true;
        }
        Optional<CompletionChunk> chunk = CompletionChunk.parse(data);
        Optional<ChunkPosition> position =
                chunk.flatMap(parsed -> idCodec.decode(id, parsed.text().length()));
        if (position.isEmpty()) {
            return false;
        }
        return switch (sequencer.accept(new ResponseChunk(
                position.get(), chunk.get().text(), chunk.get().isLast()))) {
            case ChunkDecision.Relay relay -> {
                send(id, chunk.get().withText(relay.text()));
                yield true;
            }
            case ChunkDecision.Drop drop -> true;
            case ChunkDecision.Violation broken -> false;
        };
    }

    private void send(String id, String data) throws IOException {
        String encodedId = idCodec.encode(id);
        reply.sendChunk(("id: " + encodedId + "\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
        lastEventId = Optional.of(encodedId);
        onRelayed.run();
    }

    @Override
    public void onFailure(EventSource source, Throwable cause, Response response) {
        end = cause instanceof SocketTimeoutException ? ConnectionEnd.SILENT : ConnectionEnd.CUT;
    }
}
