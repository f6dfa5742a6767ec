package org.ibissaddle.daemon.stream;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import okhttp3.Response;
import okhttp3.sse.EventSource;
import okhttp3.sse.EventSourceListener;
import okhttp3.sse.EventSources;
import org.ibissaddle.daemon.caller.CallerReply;
import org.ibissaddle.stream.AnswerGuard;
import org.ibissaddle.stream.Piece;
import org.ibissaddle.stream.PieceId;
import org.ibissaddle.stream.Verdict;

/** Relays the events of one connection to the caller, as far as the guard lets them pass. */
final class EventRelay extends EventSourceListener {
    /** How a connection ended. */
    enum End {
        /** After the end mark of the whole answer. */
        COMPLETE,
        /** Before it, or with a piece that does not belong there. */
        CUT,
        /** By silence. */
        SILENT
    }

    /** Reads and writes the identifiers of events. */
    interface Ids {
        /** Reads where a piece belongs. */
        Optional<PieceId> read(String id, int length);

        /** Writes the identifier that the caller gets. */
        String write(String id);
    }

    private final AnswerGuard guard;
    private final Ids ids;
    private final CallerReply reply;
    private final Runnable relayed;
    private End end = End.CUT;
    private Optional<IOException> callerGone = Optional.empty();
    private Optional<String> lastId = Optional.empty();

    EventRelay(AnswerGuard guard, Ids ids, CallerReply reply, Runnable relayed) {
        this.guard = guard;
        this.ids = ids;
        this.reply = reply;
        this.relayed = relayed;
    }

    /** Relays until the connection ends. */
    End relay(Response response) throws IOException {
        try (response) {
            EventSources.processResponse(response, this);
        }
        if (callerGone.isPresent()) {
            throw callerGone.get();
        }
        return guard.complete() ? End.COMPLETE : end;
    }

    /** The identifier of the last event that was relayed. */
    Optional<String> lastId() {
        return lastId;
    }

    @Override
    public void onEvent(EventSource source, String id, String type, String data) {
        if (guard.complete() || callerGone.isPresent()) {
            return;
        }
        try {
            if (!pass(id, data)) {
                source.cancel();
            }
        } catch (IOException e) {
            callerGone = Optional.of(e);
            source.cancel();
        }
    }

    private boolean pass(String id, String data) throws IOException {
        if (data.equals(Chunk.END_MARK)) {
            if (guard.endMark().isPresent()) {
                return false;
            }
            reply.piece(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
            return true;
        }
        Optional<Chunk> chunk = Chunk.read(data);
        Optional<PieceId> at = chunk.flatMap(one -> ids.read(id, one.text().length()));
        if (at.isEmpty()) {
            return false;
        }
        return switch (guard.accept(
                new Piece(at.get(), chunk.get().text(), chunk.get().last()))) {
            case Verdict.Relay relay -> {
                send(id, chunk.get().withText(relay.text()));
                yield true;
            }
            case Verdict.Drop drop -> true;
            case Verdict.Broken broken -> false;
        };
    }

    private void send(String id, String data) throws IOException {
        String written = ids.write(id);
        reply.piece(("id: " + written + "\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
        lastId = Optional.of(written);
        relayed.run();
    }

    @Override
    public void onFailure(EventSource source, Throwable cause, Response response) {
        end = cause instanceof SocketTimeoutException ? End.SILENT : End.CUT;
    }
}
