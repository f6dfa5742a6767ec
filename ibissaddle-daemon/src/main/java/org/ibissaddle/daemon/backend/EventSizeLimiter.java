package org.ibissaddle.daemon.backend;

import java.io.IOException;
import okio.Buffer;
import okio.ForwardingSource;
import okio.Source;

/** Source of an event stream that fails when an event is too long, because its reader buffers each event whole. */
final class EventSizeLimiter extends ForwardingSource {
    /** Maximum size of an event, bytes; an event holds a few tokens. */
    private static final long MAX_EVENT_BYTES = 262_144;

    private long eventBytes;
    private boolean lineIsEmpty = true;
    private byte previous;

    EventSizeLimiter(Source stream) {
        super(stream);
    }

    @Override
    public long read(Buffer sink, long byteCount) throws IOException {
        long read = super.read(sink, byteCount);
        for (long i = sink.size() - Math.max(0, read); i < sink.size(); i++) {
            count(sink.getByte(i));
        }
        if (eventBytes > MAX_EVENT_BYTES) {
            throw new IOException("an event of the stream exceeds " + MAX_EVENT_BYTES + " bytes");
        }
        return read;
    }

    /** Counts the bytes since the last blank line. Lines end with CR, LF or both. */
    private void count(byte next) {
        boolean endsLine = next == '\r' || (next == '\n' && previous != '\r');
        if (endsLine) {
            eventBytes = lineIsEmpty ? 0 : eventBytes;
            lineIsEmpty = true;
        } else if (next != '\n') {
            eventBytes++;
            lineIsEmpty = false;
        }
        previous = next;
    }
}
