package org.ibissaddle.daemon.gateway;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Rejects requests with both Content-Length and Transfer-Encoding, which allow request smuggling. */
final class StrictRequestDecoder extends HttpRequestDecoder {
    StrictRequestDecoder(HttpDecoderConfig config) {
        super(config);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
