package org.ibissaddle.standins.internal.engine;

import java.util.Optional;
import org.ibissaddle.standins.ResponseText;
import org.ibissaddle.standins.internal.http.HttpExchange;

/** Streams an answer as server-sent events while the connection is writable. */
public final class EventStream implements AnswerWriter {
    private static final int CROSSED_EVENTS = 3;

    private final Generation generation;
    private final HttpExchange exchange;
    private final StreamFaults faults;
    private int offset;
    private int events;
    private boolean started;
    private boolean ended;

    private EventStream(Generation generation, HttpExchange exchange, StreamFaults faults, int offset) {
        this.generation = generation;
        this.exchange = exchange;
        this.faults = faults;
        this.offset = offset;
    }

    /** Opens a stream that starts at an offset of the answer, not before the time set by the faults. */
    public static EventStream open(
            Generation generation,
            HttpExchange exchange,
            StreamFaults faults,
            int offset,
            DelayedExecutor delayedExecutor) {
        EventStream stream = new EventStream(generation, exchange, faults, offset);
        exchange.onWritable(stream::advance);
        delayedExecutor.runAt(faults.notBeforeMs(), stream::start);
        return stream;
    }

    @Override
    public void advance() {
        while (started && !ended && exchange.isWritable() && offset < generation.generatedLength()) {
            int end = generation.nextChunkEnd(offset);
            send(generation.answer().substring(offset, end));
            offset = end;
        }
        if (started && !ended && generation.ended() && offset == generation.generatedLength()) {
            end();
        }
    }

    private void start() {
        if (!exchange.isOpen()) {
            return;
        }
        started = true;
        exchange.startStream("text/event-stream", CompletionFormat.headers(generation.request()));
        faults.crossed().ifPresent(this::sendCrossed);
        advance();
    }

    private void send(String text) {
        events++;
        byte[] event = CompletionFormat.chunkEvent(generation.request(), offset, text, Optional.empty());
        if (!faults.omits(events)) {
            exchange.write(event);
        }
        if (faults.duplicates(events)) {
            exchange.write(event);
        }
        if (faults.cutsAfter(events)) {
            cut();
        }
    }

    private void sendCrossed(CompletionRequest other) {
        String text = ResponseText.textFor(other.model(), other.prompt(), other.maxTokens());
        int start = 0;
        for (int i = 0; i < CROSSED_EVENTS && start < text.length(); i++) {
            int space = text.indexOf(' ', start + 1);
            int end = space < 0 ? text.length() : space;
            exchange.write(CompletionFormat.chunkEvent(other, start, text.substring(start, end), Optional.empty()));
            start = end;
        }
    }

    private void end() {
        ended = true;
        generation.detach(this);
        if (generation.state() == Generation.State.CANCELLED) {
            exchange.close();
            return;
        }
        exchange.write(
                CompletionFormat.chunkEvent(generation.request(), offset, "", Optional.of(generation.finishReason())));
        exchange.write(CompletionFormat.doneEvent());
        exchange.endStream();
    }

    private void cut() {
        ended = true;
        exchange.close();
    }
}
