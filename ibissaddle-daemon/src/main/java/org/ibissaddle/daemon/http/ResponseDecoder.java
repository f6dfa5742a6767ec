package org.ibissaddle.daemon.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.function.BooleanSupplier;

/**
 * Decodes the responses on a connection that carries one request at a time. {@code HttpClientCodec} pairs responses
 * with requests in order, interim responses included, and so takes a later response to HEAD for one with a body.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_INITIAL_LINE_BYTES = 8_192;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private final BooleanSupplier isHeadRequest;

    ResponseDecoder(BooleanSupplier isHeadRequest) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
                .setMaxHeaderSize(HttpClient.MAX_HEAD_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES));
        this.isHeadRequest = isHeadRequest;
    }

    /** Returns whether bytes have been received that belong to no response so far. */
    boolean hasUnreadBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return isHeadRequest.getAsBoolean() || super.isContentAlwaysEmpty(message);
    }
}
