package org.ibissaddle.daemon.gateway;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import org.ibissaddle.daemon.http.RequestFraming;

/**
 * Rejects requests whose body has no unambiguous length, which allow request smuggling, and discards what follows them.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    StrictRequestDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Called when the head is complete, before the decoder determines the length of the body. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        RequestFraming.check((HttpRequest) message).ifPresent(error -> {
            throw new FramingException(error);
        });
        return super.isContentAlwaysEmpty(message);
    }

    /** The decoder result of a request with a framing error. */
    static final class FramingException extends IllegalArgumentException {
        private static final long serialVersionUID = 1L;

        private final transient RequestFraming.FramingError error;

        private FramingException(RequestFraming.FramingError error) {
            super(error.reason());
            this.error = error;
        }

        RequestFraming.FramingError error() {
            return error;
        }
    }
}
